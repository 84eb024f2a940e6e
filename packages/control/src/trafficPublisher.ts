import { computeTextChange, computeTrafficChanges, getTraffic } from "@kumquathall/control-state";
import { KumquathallError } from "@kumquathall/errors";
import { MAX_FRAME_BYTES } from "@kumquathall/link";
import { measureRecord } from "@kumquathall/storage";
import type { Command, ControlAnswer, ControlCall, TrafficConfiguration } from "@kumquathall/types";
import type { ControlStateMachine } from "./controlStateMachine.js";

/** A configuration is too large to be replicated; the message names the limit and the remedy. */
export class ConfigurationSizeError extends KumquathallError {}

/** Other versions were published at the same time, so that no change of the version in force could be committed. */
export class ConcurrentPublishError extends KumquathallError {}

/** The leader answered without committing the version; the message names its reason. */
export class PublishRefusedError extends KumquathallError {}

/** Confirms a publish. */
export interface PublishReceipt {
    /** Log index at which the leader has handled it or, if nothing was proposed, the revision in force here. */
    revision: number;
    /** Whether this member had applied this version or a newer one, so that nothing was proposed. */
    isRepeated: boolean;
}

export interface TrafficPublisherOptions {
    stateMachine: ControlStateMachine;
    /** Calls the leader; rejects if none answers within the time, in milliseconds. */
    callLeader: (call: ControlCall, timeoutMs: number) => Promise<ControlAnswer>;
}

/** Time limit for a publish with all its attempts, in milliseconds: below the time that callers wait for an answer. */
const PUBLISH_TIMEOUT_MS = 900;
/** Attempts to publish the difference to the version that this member has applied, before the whole is published. */
const MAX_CHANGE_ATTEMPTS = 4;
/** Pause after a stale attempt, in milliseconds: a member applies a version within a heartbeat after the leader. */
const STALE_PAUSE_MS = 50;
/** Largest command, in bytes: the message that replicates it must fit in a frame. */
const MAX_COMMAND_BYTES = MAX_FRAME_BYTES - 64 * 1024;

/** Publishes traffic configurations as differences to the version in force, or whole where there is none. */
export class TrafficPublisher {
    constructor(private readonly options: TrafficPublisherOptions) {}

    /**
     * Publishes a traffic configuration, unless this version or a newer one is in force. Rejects with
     * {@link ConfigurationSizeError} if it is too large, and with {@link KumquathallError} if no leader confirms it.
     */
    async publish(traffic: TrafficConfiguration, document: string): Promise<PublishReceipt> {
        const endsAt = performance.now() + PUBLISH_TIMEOUT_MS;
        for (let attempt = 1;; attempt++) {
            const command = this.buildCommand(traffic, document, attempt <= MAX_CHANGE_ATTEMPTS);
            if (command === undefined) {
                return { revision: this.options.stateMachine.getState().configuration.revision, isRepeated: true };
            }
            const answer = await this.options.callLeader({ kind: "propose", command }, endsAt - performance.now());
            const result = answer.kind === "result" ? answer.result : undefined;
            if (result?.kind === "accepted") {
                return { revision: result.revision, isRepeated: false };
            }
            if (result?.kind !== "refused" || result.code !== "stale") {
                throw new PublishRefusedError(`the version was not committed: ${describeRefusal(answer)}`);
            }
            if (performance.now() + STALE_PAUSE_MS >= endsAt) {
                throw new ConcurrentPublishError("other versions were published at the same time; send the call again");
            }
            await new Promise(resolve => setTimeout(resolve, STALE_PAUSE_MS));
        }
    }

    /** Builds the command for the version in force here; `undefined` if nothing remains to be published. */
    private buildCommand(traffic: TrafficConfiguration, document: string, canChange: boolean): Command | undefined {
        const { configuration, trafficDocument } = this.options.stateMachine.getState();
        const baseVersion = getTraffic(configuration)?.version ?? 0;
        if (baseVersion >= traffic.version) {
            return undefined;
        }
        const at = new Date().toISOString();
        const command: Command = canChange && trafficDocument !== undefined
            ? {
                kind: "changeTraffic",
                baseVersion,
                version: traffic.version,
                changes: computeTrafficChanges(configuration, traffic),
                document: computeTextChange(trafficDocument, document),
                at,
            }
            : { kind: "publishTraffic", traffic, document, at };
        const bytes = measureRecord(command);
        if (bytes > MAX_COMMAND_BYTES) {
            throw new ConfigurationSizeError(
                `the change takes ${bytes} bytes, above the limit of ${MAX_COMMAND_BYTES}; publish it in several versions`,
            );
        }
        return command;
    }
}

function describeRefusal(answer: ControlAnswer): string {
    if (answer.kind !== "result") {
        return `the leader answered with "${answer.kind}"; send the call again`;
    }
    return answer.result.kind === "refused" ? answer.result.message : `its result is "${answer.result.kind}"`;
}
