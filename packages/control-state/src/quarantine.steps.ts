import { Before, Given, Then, When } from "@cucumber/cucumber";
import { type Command, QuarantineSubject } from "@kumquathall/types";
import { deepStrictEqual, strictEqual } from "node:assert";
import { applyCommand } from "./applyCommand.js";
import { listSuspects } from "./lookup.js";
import { decodeState, encodeState } from "./snapshot.js";
import { type ControlState, createControlState } from "./state.js";

const AT = "2026-01-01T00:00:00.000Z";
const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 };

let state: ControlState;
let index = 0;

function apply(command: Command): void {
    state = applyCommand(state, command, { index: ++index, term: 1 }).state;
}

function quarantine(id: string, crashes: number): void {
    const endpoints = Array.from({ length: crashes }, (_, at) => `e${at}@1`);
    const subject = QuarantineSubject.Request;
    apply({ kind: "quarantine", subject, id, service: "writer", crashes: endpoints, at: AT });
}

function listQuarantined(): string[] {
    return listSuspects(state.configuration).map(suspect => suspect.fingerprint).sort();
}

Before({ tags: "@quarantine-state" }, () => {
    state = createControlState();
    index = 0;
});

Given("the request {string} is quarantined after {int} crashes", quarantine);

When("a traffic configuration is published, and the state is restored from a snapshot", () => {
    const traffic = { version: 1, routes: [], services: [], limits: LIMITS, accounts: [] };
    apply({ kind: "publishTraffic", traffic, document: "{}", at: AT });
    apply({ kind: "publishTraffic", traffic: { ...traffic, version: 2 }, document: "{}", at: AT });
    state = decodeState(encodeState(state));
});

When("an operator releases {string}", (fingerprint: string) => {
    apply({ kind: "releaseQuarantine", changeId: "c", operator: "o", fingerprint, at: AT });
});

Given("{int} requests are quarantined, one after the other", (count: number) => {
    for (let at = 0; at < count; at++) {
        quarantine(`r${at}`, 3);
    }
});

Then("these are quarantined: {string}", (names: string) => {
    deepStrictEqual(listQuarantined(), names === "" ? [] : names.split(", "));
});

Then("the record of {string} names {int} crashes", (id: string, count: number) => {
    const record = listSuspects(state.configuration).find(suspect => suspect.fingerprint === id);
    strictEqual(record?.crashes.length, count);
});

Then("the audit trail holds {string}", (actions: string) => {
    deepStrictEqual(state.audit.toArray().map(record => record.action), actions.split(", "));
});

Then("the {int} newest of them are quarantined", (count: number) => {
    const newest = Array.from({ length: count }, (_, at) => `r${300 - count + at}`);
    deepStrictEqual(listQuarantined(), newest.sort());
});
