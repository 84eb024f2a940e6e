import { describeError } from "@kumquathall/errors";
import {
    castToAll,
    type Link,
    LinkDialer,
    type LinkHandlers,
    parseAddress,
    type PeerIdentity,
} from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type { ControlAnswer } from "@kumquathall/types";
import { getMemberAddress } from "./memberId.js";

export interface ControlDirectoryOptions {
    identity: PeerIdentity;
    /** Addresses (host:port) at which control members are likely to listen. */
    seeds: string[];
    /** Called for the links that this process opens. */
    handlers: LinkHandlers;
    logger: Logger;
    heartbeatMs?: number;
    silenceMs?: number;
    /** Interval at which linked members are asked for the list of members, in milliseconds. */
    refreshMs?: number;
}

const DEFAULT_REFRESH_MS = 1000;
const ASK_TIMEOUT_MS = 800;
/** How long the link to a member that is no longer listed is kept, in milliseconds. */
const KEEP_UNLISTED_MS = 10_000;

/** Keeps a link to each control member. Every linked member is asked for the list; the seeds always count as listed. */
export class ControlDirectory {
    private readonly dialers = new Map<string, { dialer: LinkDialer; listedAt: number }>();
    private seeds: string[];
    private gatewayCount = 1;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: ControlDirectoryOptions) {
        this.seeds = options.seeds;
        this.dialAll(options.seeds);
        this.timer = setInterval(() => void this.refresh(), options.refreshMs ?? DEFAULT_REFRESH_MS);
    }

    /** Replaces the seeds, for example after the settings were reloaded. */
    setSeeds(seeds: string[]): void {
        this.seeds = seeds;
        this.dialAll(seeds);
    }

    /** Open links, one for each member. */
    listLinks(): Link[] {
        return [...this.dialers.values()].flatMap(item => item.dialer.getLink() ?? []);
    }

    /** Sends a message to every linked member. */
    castAll(message: unknown): void {
        castToAll(this.listLinks(), message);
    }

    /** Number of gateways linked to control: the highest reported at the last refresh with an answer; at least 1. */
    countGateways(): number {
        return this.gatewayCount;
    }

    close(): void {
        clearInterval(this.timer);
        for (const { dialer } of this.dialers.values()) {
            dialer.close();
        }
    }

    private async refresh(): Promise<void> {
        const answers = await Promise.all(this.listLinks().map(link => this.askMembers(link)));
        const received = answers.flatMap(answer => answer ?? []);
        if (received.length > 0) {
            // A member that has just started reports too few gateways; no member reports too many.
            this.gatewayCount = Math.max(1, ...received.map(answer => answer.gateways));
        }
        const listed = new Set([...this.seeds, ...received.flatMap(answer => answer.members).map(getMemberAddress)]);
        this.dialAll([...listed]);
        const now = performance.now();
        for (const [address, item] of this.dialers) {
            if (now - item.listedAt > KEEP_UNLISTED_MS) {
                item.dialer.close();
                this.dialers.delete(address);
                this.options.logger.info("control-member-dropped", { address });
            }
        }
    }

    private async askMembers(link: Link): Promise<{ members: string[]; gateways: number } | undefined> {
        try {
            const answer = await link.call({ kind: "members" }, ASK_TIMEOUT_MS) as ControlAnswer;
            return answer.kind === "members" ? answer : undefined;
        }
        catch (error) {
            this.options.logger.debug("members-call-failed", { peer: link.peer?.id, message: describeError(error) });
            return undefined;
        }
    }

    private dialAll(addresses: string[]): void {
        const now = performance.now();
        for (const address of addresses) {
            const known = this.dialers.get(address);
            if (known !== undefined) {
                known.listedAt = now;
                continue;
            }
            const { identity, handlers, logger, heartbeatMs, silenceMs } = this.options;
            const dialer = new LinkDialer({
                address: parseAddress(address),
                identity,
                heartbeatIntervalMs: heartbeatMs,
                heartbeatTimeoutMs: silenceMs,
                handlers: {
                    ...handlers,
                    onOpen: link => {
                        logger.info("control-link-opened", { address, peer: link.peer?.id });
                        handlers.onOpen?.(link);
                        if (this.listLinks().length <= 1) {
                            // The list may be unknown or old: after a power failure of everything, the leader may be none
                            // of the seeds, and without a link to it this process takes no part until the next refresh.
                            void this.refresh();
                        }
                    },
                    onClose: (link, reason) => {
                        logger.info("control-link-closed", { address, reason });
                        handlers.onClose?.(link, reason);
                    },
                },
            });
            this.dialers.set(address, { dialer, listedAt: now });
        }
    }
}
