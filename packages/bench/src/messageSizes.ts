import { AgentUpdateBuilder } from "@kumquathall/entry";
import { encodeFrame } from "@kumquathall/link";
import { computeUpdate, writeEntry } from "@kumquathall/versioned-map";
import { buildFakeService, buildFakeState } from "./fakeState.js";

/** Encoded size of one message, or of a request and its answer, on an internal link. */
export interface MessageSize {
    name: string;
    bytes: number;
}

/** TCP, IP and Ethernet headers of a small message and of its acknowledgement. */
export const PACKET_OVERHEAD_BYTES = 132;

/** Measures the encoded size of each control message with typical content. */
export function measureMessageSizes(): MessageSize[] {
    const control = buildFakeState({ vms: 640, vmsPerGroup: 32, vmsPerDomain: 64, services: 4, usedShare: 0.9 });
    const { configuration } = control.state;
    const service = buildFakeService(0, 4, 32, "institution");
    const changed = writeEntry(configuration, "service/institution/service-0", configuration.revision + 1, {
        kind: "service",
        service,
    });
    const updates = new AgentUpdateBuilder(() => configuration);
    const idle = { update: updates.build("vm-1", configuration.revision), leaseMs: 2100 };
    const fencing = { term: 3, index: 123456 };
    const members = ["control-1", "control-2", "control-3"];
    const measure = (name: string, ...frames: unknown[]): MessageSize => ({
        name,
        bytes: frames.reduce((sum: number, frame) => sum + encodeFrame(frame).length, 0),
    });
    return [
        measure("heartbeat of a link", { t: "ping" }),
        measure("vouch, question and answer", { t: "call", id: 123456, m: { kind: "vouch" } }, {
            t: "answer",
            id: 123456,
            m: { kind: "vouch", vouch: { member: "control-1", members, accepted: 123456 } },
        }),
        measure(
            "presence without changes, question and answer",
            {
                t: "call",
                id: 123456,
                m: {
                    kind: "presence",
                    entry: "entry-1",
                    incarnation: "x".repeat(36),
                    sequence: 1234,
                    isFull: false,
                    up: [],
                    down: [],
                    demands: [{ service: "institution/service", demand: 10, capacity: 100 }],
                },
            },
            {
                t: "answer",
                id: 123456,
                m: { kind: "presence", wantsFull: false, shares: [{ service: "institution/service", limit: 20 }] },
            },
        ),
        measure("agent's question for configuration, nothing new", {
            t: "call",
            id: 123456,
            m: { kind: "configuration", since: 123456, vm: "vm-12345" },
        }, { t: "answer", id: 123456, m: idle }),
        measure("lease of a member, question and answer", {
            t: "call",
            id: 123456,
            m: { kind: "lease", groupId: "g-12345678", fencing },
        }, { t: "answer", id: 123456, m: { isGranted: true, incarnation: "x".repeat(36), reason: "" } }),
        measure("load report of an agent", {
            t: "cast",
            m: {
                kind: "load",
                vm: "vm-12345",
                report: { running: 12, queued: 3, ageMs: 212.5, cachedPrefixes: [], cacheSequence: 1234 },
            },
        }),
        measure("delta of one service change", {
            t: "cast",
            m: { kind: "update", update: computeUpdate(changed, configuration.revision) },
        }),
    ];
}
