import { type ConsensusRuntime, Role } from "@kumquathall/consensus";
import { describeError } from "@kumquathall/errors";
import type { Logger } from "@kumquathall/logger";
import type { Command, CommandResult } from "@kumquathall/types";
import { Counter, type Registry } from "prom-client";
import {
    ConcurrentPublishError,
    ConfigurationSizeError,
    type PublishReceipt,
    PublishRefusedError,
} from "./trafficPublisher.js";

export interface PublishRecorderOptions {
    runtime: ConsensusRuntime<Command, CommandResult>;
    metrics: Registry;
    logger: Logger;
}

/** Logs and counts how publishes end, and which members hold what the leader confirms. */
export class PublishRecorder {
    private readonly publishes: Counter<"outcome" | "reason">;

    constructor(private readonly options: PublishRecorderOptions) {
        this.publishes = new Counter({
            name: "kumquathall_configuration_publishes_total",
            help: "Publishes of traffic configurations at this member, by how they ended",
            labelNames: ["outcome", "reason"],
            registers: [options.metrics],
        });
    }

    /** Counts a publish that this member confirms. */
    recordReceipt(receipt: PublishReceipt): void {
        this.publishes.inc({ outcome: "acknowledged", reason: receipt.isRepeated ? "in-force" : "committed" });
    }

    /** Counts a publish that is refused, or of which it is unknown whether it will be in force. */
    recordFailure(version: number, error: unknown): void {
        if (error instanceof ConfigurationSizeError) {
            this.publishes.inc({ outcome: "refused", reason: "too-large" });
            return;
        }
        const reason = describeReason(error);
        this.publishes.inc({ outcome: "unclear", reason });
        this.options.logger.info("configuration-not-confirmed", { version, reason, message: describeError(error) });
    }

    /** Logs the result of a command that this member, as the leader, has committed, if it publishes a configuration. */
    recordResult(command: Command, result: CommandResult): void {
        if (command.kind !== "publishTraffic" && command.kind !== "changeTraffic") {
            return;
        }
        const { runtime, logger } = this.options;
        const version = command.kind === "publishTraffic" ? command.traffic.version : command.version;
        if (result.kind !== "accepted") {
            const code = result.kind === "refused" ? result.code : result.kind;
            logger.info("configuration-not-committed", { version, code });
            return;
        }
        const { role, hardState } = runtime.getState();
        // A former leader learns from its successor that its proposal is committed, and not which members hold it.
        const holders = role === Role.Leader ? runtime.listHolders(result.revision) : undefined;
        logger.info("configuration-committed", {
            version,
            revision: result.revision,
            term: hardState.term,
            members: runtime.getMembers().length,
            copies: holders?.length,
            holders: holders?.join(),
        });
    }
}

function describeReason(error: unknown): string {
    if (error instanceof PublishRefusedError) {
        return "not-committed";
    }
    return error instanceof ConcurrentPublishError ? "concurrent" : "no-leader";
}
