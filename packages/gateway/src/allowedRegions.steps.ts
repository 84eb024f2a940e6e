import { Given, Then, When } from "@cucumber/cucumber";
import { deepStrictEqual, strictEqual } from "node:assert";
import { EndpointScope } from "./endpointScope.js";

const DATA_CENTRES = ["a1", "a2", "b1", "x"];
const REGIONS: Record<string, string> = { a1: "A", a2: "A", b1: "B" };

let evacuated: string[] = [];
let scope: EndpointScope;

Given("endpoints in the data centres a1 and a2 of region A, b1 of region B, and x of an unknown region", () => {
    evacuated = [];
});

Given(/^(.*) are evacuated$/, (names: string) => {
    evacuated = names.split(" ");
});

/** Builds a route or an account: "all" stands for one without the field, "empty" for an empty list. */
function buildHolder(regions: string): { allowedRegions?: string[] } {
    if (regions === "all") {
        return {};
    }
    return { allowedRegions: regions === "empty" ? [] : regions.split(" ") };
}

When(
    "a request has a route with the regions {string} and an account with the regions {string}",
    (route: string, account: string) => {
        scope = new EndpointScope({
            table: {
                isEvacuated: dataCentre => evacuated.includes(dataCentre),
                countEvacuated: () => evacuated.length,
            },
            route: buildHolder(route),
            account: account === "none" ? undefined : buildHolder(account),
            getRegion: dataCentre => REGIONS[dataCentre],
        });
    },
);

Then(
    /^it goes to endpoints in "(.*)" only, and otherwise is refused as (.*)$/,
    (expected: string, refusal: string) => {
        const endpoints = DATA_CENTRES.map(dataCentre => ({ view: { dataCentre } }));
        const names = scope.select(endpoints).map(({ view }) => view.dataCentre);
        deepStrictEqual(names, expected.split(" ").filter(name => name !== ""));
        strictEqual(scope.findRefusal(endpoints, 0)?.name ?? "nothing", refusal);
    },
);
