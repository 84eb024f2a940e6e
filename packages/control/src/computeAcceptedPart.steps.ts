import { Given, Then } from "@cucumber/cucumber";
import { strictEqual } from "node:assert";
import { type AcceptedPartInput, computeAcceptedPart } from "./computeAcceptedPart.js";

let usualMs = 0;
let head: Pick<AcceptedPartInput, "namedLimit" | "cold" | "coldUntil">;

Given("a group whose usual request takes {int} ms", (ms: number) => {
    usualMs = ms;
});

Given(
    /^a head that names (.+), and is cold until (\d+) ms at a rate of (.+)$/,
    (limit: string, until: string, rate: string) => {
        head = {
            namedLimit: limit === "no limit" ? undefined : Number(limit),
            cold: rate === "no" ? undefined : { durationMs: 3000, perSecond: Number(rate) },
            coldUntil: Number(until),
        };
    },
);

Then("at {int} ms it accepts a part of {float}", (now: number, part: number) => {
    strictEqual(computeAcceptedPart({ ...head, usualMs, now }), part);
});
