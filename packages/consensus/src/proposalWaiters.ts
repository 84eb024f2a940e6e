import type { LogEntry } from "@kumquathall/types";
import { ConsensusError, UnknownOutcomeError } from "./errors.js";

/** Waits for the results of one entry, which may hold several proposals. */
export interface Waiter<Result> {
    /** Term in which the entry was proposed. */
    term: number;
    resolve: (results: Result[]) => void;
    reject: (error: Error) => void;
}

/** Proposals of this member that are not settled, by the index of their entry. */
export class ProposalWaiters<Result> {
    private readonly waiters = new Map<number, Waiter<Result>>();

    add(index: number, waiter: Waiter<Result>): void {
        this.waiters.set(index, waiter);
    }

    /** Settles the proposals of an applied entry: refused if the entry at their index is another leader's. */
    resolve(entry: LogEntry<unknown>, results: Result[], leaderId: string | undefined): void {
        const waiter = this.waiters.get(entry.index);
        if (waiter === undefined) {
            return;
        }
        this.waiters.delete(entry.index);
        if (waiter.term === entry.term) {
            waiter.resolve(results);
        }
        else {
            waiter.reject(
                new ConsensusError("an entry of another leader replaced this proposal; send it again", leaderId),
            );
        }
    }

    /** Refuses the proposals whose entries an installed snapshot covers, since their results are not known. */
    refuseCovered(index: number): void {
        for (const [at, waiter] of this.waiters) {
            if (at <= index) {
                this.waiters.delete(at);
                const message =
                    "a snapshot has replaced the entry of this proposal, which may be committed; send it again";
                waiter.reject(new UnknownOutcomeError(message));
            }
        }
    }

    refuseAll(error: Error): void {
        for (const waiter of this.waiters.values()) {
            waiter.reject(error);
        }
        this.waiters.clear();
    }
}
