import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import { strictEqual } from "node:assert";
import { compareEventIds, parseEventId } from "./eventId.js";

const SEED = 12;

Then("any ids compare as integers of any size, with leading zeros too", () => {
    const value = fc.bigInt({ min: 0n, max: 2n ** 130n });
    const pair = fc.oneof(
        fc.tuple(value, value),
        value.chain(left => fc.tuple(fc.constant(left), fc.bigInt({ min: left, max: left + 2n }))),
    );
    fc.assert(
        fc.property(pair, fc.nat(3), fc.nat(3), ([left, right], leftZeros, rightZeros) => {
            const compared = compareEventIds(
                "0".repeat(leftZeros) + left.toString(),
                "0".repeat(rightZeros) + right.toString(),
            );
            const expected = left === right ? 0 : left < right ? -1 : 1;
            strictEqual(Math.sign(compared), expected);
        }),
        { seed: SEED, numRuns: 2000 },
    );
});

Then(/^the text (.+) is (an|no) event id$/, (text: string, word: string) => {
    const digits = /^with (\d+) digits$/.exec(text)?.[1];
    const id = digits === undefined ? text : "7".repeat(Number(digits));
    strictEqual(parseEventId(id), word === "an" ? id : undefined);
});
