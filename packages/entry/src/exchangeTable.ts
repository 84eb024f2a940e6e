import type { Link } from "@kumquathall/link";
import type { AgentToEntry } from "@kumquathall/types";
import type { RunExchange } from "./runExchange.js";

/** Attempts that wait for messages of agents, by the id of the run. */
export class ExchangeTable {
    private readonly exchanges = new Map<string, RunExchange>();
    /** Messages for no attempt of this entry: late, doubled or foreign. */
    foreignCount = 0;

    add(exchange: RunExchange): void {
        this.exchanges.set(exchange.runId, exchange);
    }

    remove(exchange: RunExchange): void {
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

    handleLinkClosed(link: Link): void {
        for (const exchange of this.exchanges.values()) {
            exchange.handleLinkClosed(link);
        }
    }

    /** An agent opened a new connection: attempts on the old one go on over it. */
    handleAgentBack(vm: string, incarnation: string, link: Link): void {
        for (const exchange of this.exchanges.values()) {
            if (exchange.vm === vm) {
                exchange.handleAgentBack(incarnation, link);
            }
        }
    }
}
