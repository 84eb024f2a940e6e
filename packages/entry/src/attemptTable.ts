import type { Link } from "@kumquathall/link";
import type { AgentToEntry } from "@kumquathall/types";
import type { RunAttempt } from "./runAttempt.js";

const ACKNOWLEDGE_MS = 10;

/** Attempts that wait for messages of agents, by the id of the run. */
export class AttemptTable {
    private readonly exchanges = new Map<string, RunAttempt>();
    /** Messages for no attempt of this entry: late, doubled or foreign. */
    foreignCount = 0;

    private readonly taken = new Map<Link, string[]>();
    private timer: NodeJS.Timeout | undefined;

    /** Tells an agent soon that it need not hold an answer any longer; many runs share one message. */
    sendTaken(runId: string, link: Link): void {
        const known = this.taken.get(link);
        if (known === undefined) {
            this.taken.set(link, [runId]);
        }
        else {
            known.push(runId);
        }
        this.timer ??= setTimeout(() => this.flushTaken(), ACKNOWLEDGE_MS);
    }

    add(exchange: RunAttempt): void {
        this.exchanges.set(exchange.runId, exchange);
    }

    remove(exchange: RunAttempt): void {
        this.exchanges.delete(exchange.runId);
    }

    handleMessage(message: AgentToEntry, link: Link): void {
        const exchange = this.exchanges.get(message.requestId);
        if (exchange === undefined || exchange.vm !== link.peer?.id || exchange.incarnation !== link.peer.incarnation) {
            this.foreignCount++;
            return;
        }
        exchange.handleMessage(message, link);
    }

    private flushTaken(): void {
        this.timer = undefined;
        for (const [link, requestIds] of this.taken) {
            link.cast({ kind: "runTaken", requestIds });
        }
        this.taken.clear();
    }

    handleLinkClosed(link: Link): void {
        for (const exchange of this.exchanges.values()) {
            exchange.handleLinkClosed(link);
        }
    }

    /** An agent opened a new connection: attempts on the old one go on over it. */
    handleAgentBack(vm: string, incarnation: string, link: Link): void {
        for (const exchange of this.exchanges.values()) {
            if (exchange.vm === vm) {
                exchange.handleAgentReconnect(incarnation, link);
            }
        }
    }
}
