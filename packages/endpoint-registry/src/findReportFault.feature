@report-faults
Feature: Reports of crashes and limits that can't be used are found, and all that gateways send can be used

    # Guards against one odd report that ends what collects them, and against a check that refuses what gateways send.
    Scenario Outline: A report is checked field by field
        Given a <kind> report with <field> set to <value>
        Then it can be used: <isUsable>

        Examples:
            | kind       | field         | value                       | isUsable |
            | "limit"    | "perSecond"   | "2.5"                       | yes      |
            | "limit"    | "perSecond"   | "0"                         | yes      |
            | "limit"    | "perSecond"   | "undefined"                 | yes      |
            | "limit"    | "perSecond"   | "null"                      | no       |
            | "limit"    | "perSecond"   | "-1"                        | no       |
            | "limit"    | "perSecond"   | "NaN"                       | no       |
            | "limit"    | "perSecond"   | "Infinity"                  | no       |
            | "limit"    | "ageMs"       | "-0.01"                     | yes      |
            | "limit"    | "ageMs"       | "Infinity"                  | no       |
            | "limit"    | "endpoint"    | "''"                        | no       |
            | "limit"    | "endpoint"    | "'a\\u0000'"                | no       |
            | "limit"    | "endpoint"    | "{}"                        | no       |
            | "crash"    | "service"     | "7"                         | no       |
            | "crash"    | "ageMs"       | "1e300"                     | no       |
            | "crash"    | "requests"    | "[]"                        | yes      |
            | "crash"    | "requests"    | "{}"                        | no       |
            | "crash"    | "requests"    | "[null]"                    | no       |
            | "crash"    | "requests"    | "[{}]"                      | no       |
            | "crash"    | "kind"        | "'other'"                   | no       |
            | "survival" | "subject"     | "'other'"                   | no       |
            | "survival" | "id"          | "null"                      | no       |
            | "survival" | "id"          | "'5c1e07a2'"                | yes      |
