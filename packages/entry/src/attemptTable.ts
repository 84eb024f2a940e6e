import type { Link } from "@kumquathall/link";
import type { AgentToEntry } from "@kumquathall/types";
import type { RunAttempt } from "./runAttempt.js";

const ACKNOWLEDGE_DELAY_MS = 10;

/** Running attempts by run id. Passes each agent message on to its attempt. */
export class AttemptTable {
    private readonly attempts = new Map<string, RunAttempt>();
    /** Number of dropped messages: late, duplicated or misdirected ones that match no running attempt. */
    foreignCount = 0;

    /** Run ids whose acknowledgement has not been sent yet, by link. */
    private readonly unacknowledgedRuns = new Map<Link, string[]>();
    private timer: NodeJS.Timeout | undefined;

    /** Acknowledges a response, so that the agent drops its copy. Acknowledgements are batched for each link. */
    sendAcknowledgement(runId: string, link: Link): void {
        const runIds = this.unacknowledgedRuns.get(link);
        if (runIds === undefined) {
            this.unacknowledgedRuns.set(link, [runId]);
        }
        else {
            runIds.push(runId);
        }
        this.timer ??= setTimeout(() => this.flushAcknowledgements(), ACKNOWLEDGE_DELAY_MS);
    }

    add(attempt: RunAttempt): void {
        this.attempts.set(attempt.runId, attempt);
    }

    remove(attempt: RunAttempt): void {
        this.attempts.delete(attempt.runId);
    }

    handleMessage(message: AgentToEntry, link: Link): void {
        const attempt = this.attempts.get(message.requestId);
        if (attempt === undefined || attempt.vm !== link.peer?.id || attempt.incarnation !== link.peer.incarnation) {
            this.foreignCount++;
            return;
        }
        attempt.handleMessage(message, link);
    }

    private flushAcknowledgements(): void {
        this.timer = undefined;
        for (const [link, requestIds] of this.unacknowledgedRuns) {
            link.cast({ kind: "runTaken", requestIds });
        }
        this.unacknowledgedRuns.clear();
    }

    handleLinkClosed(link: Link): void {
        for (const attempt of this.attempts.values()) {
            attempt.handleLinkClosed(link);
        }
    }

    /** Continues the attempts of an agent over its new connection. */
    handleAgentReconnect(vm: string, incarnation: string, link: Link): void {
        for (const attempt of this.attempts.values()) {
            if (attempt.vm === vm) {
                attempt.handleAgentReconnect(incarnation, link);
            }
        }
    }
}
