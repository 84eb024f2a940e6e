import { LimitArbiter } from "@kumquathall/endpoint-limits";
import { encodeFrame, FrameDecoder } from "@kumquathall/link";
import type { LimitFact, PermitWant } from "@kumquathall/types";
import { PACKET_OVERHEAD_BYTES } from "./messageSizes.js";
import { registerBench } from "./registry.js";

const ENDPOINTS = 12_000;
const GATEWAYS = 190;
const LIMIT_PER_SECOND = 10;
/** Wants in the largest call, and the most calls and wants a second that the leader gets from all gateways. */
const WANTS_PER_CALL = 64;
const CALLS_PER_SECOND = 1000;
const WANTS_PER_SECOND = 10_000;
const ROUNDS = 500;
const MS_PER_SECOND = 1000;
const BYTES_PER_KB = 1000;
const TARGET_KB_PER_SECOND = 10;
/** Time and bytes of one call with a number of wants, at the leader. */
interface CallCost {
    us: number;
    bytes: number;
}

registerBench({
    name: "limits",
    target:
        "12,000 limited endpoints and 190 gateways: at most 10 KB/s for a gateway; processor time of the leader is printed",
    run: print => {
        const arbiter = new LimitArbiter();
        arbiter.record(Array.from({ length: ENDPOINTS }, (_, at) => buildFact(at)), 0);
        const small = measureCall(arbiter, 1);
        const large = measureCall(arbiter, WANTS_PER_CALL);
        const usPerWant = (large.us - small.us) / (WANTS_PER_CALL - 1);
        const bytesPerWant = (large.bytes - small.bytes) / (WANTS_PER_CALL - 1);
        const callBytes = small.bytes - bytesPerWant + PACKET_OVERHEAD_BYTES;
        const leaderShare = (CALLS_PER_SECOND * (small.us - usPerWant) + WANTS_PER_SECOND * usPerWant) / 1_000_000;
        const gatewayBytes = (CALLS_PER_SECOND * callBytes + WANTS_PER_SECOND * bytesPerWant) / GATEWAYS;
        const gatewayKb = gatewayBytes / BYTES_PER_KB;
        print(`a call with one want: ${small.us.toFixed(1)} microseconds, ${small.bytes} bytes`);
        print(`each further want: ${usPerWant.toFixed(2)} microseconds, ${bytesPerWant.toFixed(0)} bytes`);
        print(`the leader at its most calls and wants: ${(leaderShare * 100).toFixed(1)}% of a core`);
        print(`a gateway then: ${gatewayKb.toFixed(1)} KB/s`);
        return Promise.resolve({ met: gatewayKb <= TARGET_KB_PER_SECOND, leaderShare, gatewayKb });
    },
});

function buildFact(at: number): LimitFact {
    return { endpoint: `i-${String(at).padStart(10, "0")}@1769484841767`, perSecond: LIMIT_PER_SECOND, ageMs: 0 };
}

function measureCall(arbiter: LimitArbiter, count: number): CallCost {
    const decoder = new FrameDecoder();
    let bytes = 0;
    let spentMs = 0;
    for (let round = 0; round < ROUNDS; round++) {
        const wants: PermitWant[] = Array.from({ length: count }, (_, at) => ({
            ...buildFact((round * count + at) % ENDPOINTS),
            count: 3,
        }));
        const call = encodeFrame({ t: "call", id: 123456, m: { kind: "takePermits", wants } });
        const startedAt = performance.now();
        decoder.decode(call);
        const grants = arbiter.grant(`g${round % GATEWAYS}`, wants, round * 10);
        const answer = encodeFrame({ t: "answer", id: 123456, m: { kind: "permits", grants } });
        spentMs += performance.now() - startedAt;
        bytes = call.length + answer.length;
    }
    return { us: spentMs * MS_PER_SECOND / ROUNDS, bytes };
}
