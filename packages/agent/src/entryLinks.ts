import { KumquathallError } from "@kumquathall/errors";
import type { RoleContext } from "@kumquathall/kernel";
import { type Link, LinkDialer, type LinkHandlers, parseAddress, type PeerIdentity } from "@kumquathall/link";
import type { Command, CommandResult, ControlAnswer } from "@kumquathall/types";

const CONTROL_CALL_TIMEOUT_MS = 2500;
const RETRY_PAUSE_MS = 100;

/** No entry could pass a command to control in time. */
export class ControlUnreachableError extends KumquathallError {}

/** Links from this agent to its entries. */
export class EntryLinks {
    private readonly dialers: LinkDialer[];
    private nextStart = 0;

    constructor(addresses: string[], context: RoleContext, identity: PeerIdentity, handlers: LinkHandlers) {
        this.dialers = addresses.map(address =>
            new LinkDialer({ address: parseAddress(address), tls: context.tls, identity, handlers })
        );
    }

    /** Lists the open links in round-robin order: each call starts with the next link. */
    list(): Link[] {
        const open = this.dialers.flatMap(dialer => dialer.getLink() ?? []);
        const start = open.length === 0 ? 0 : this.nextStart++ % open.length;
        return [...open.slice(start), ...open.slice(0, start)];
    }

    /** Sends a message to every connected entry. */
    castAll(message: unknown): void {
        this.list().forEach(link => link.cast(message));
    }

    /**
     * Proposes a command through any entry, and retries until it has a result or `until` (monotonic time) has passed.
     * Then rejects with {@link ControlUnreachableError}; the command may have been applied nevertheless.
     */
    async propose(command: Command, until: number): Promise<CommandResult> {
        while (performance.now() < until) {
            for (const link of this.list()) {
                const result = await this.proposeOver(link, command);
                if (result !== undefined) {
                    return result;
                }
            }
            await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
        }
        throw new ControlUnreachableError(`no entry could pass ${command.kind} to control in time`);
    }

    close(): void {
        this.dialers.forEach(dialer => dialer.close());
    }

    private async proposeOver(link: Link, command: Command): Promise<CommandResult | undefined> {
        try {
            const answer = await link.call(
                { kind: "control", call: { kind: "propose", command } },
                CONTROL_CALL_TIMEOUT_MS,
            ) as ControlAnswer;
            return answer.kind === "result" ? answer.result : undefined;
        }
        catch {
            return undefined;
        }
    }
}
