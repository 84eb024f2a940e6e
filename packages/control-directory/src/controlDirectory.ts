import { describeError } from "@kumquathall/errors";
import { type Link, LinkDialer, type LinkHandlers, parseAddress, type PeerIdentity } from "@kumquathall/link";
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
    /** How often members are asked who the members are, in milliseconds. */
    refreshMs?: number;
}

const DEFAULT_REFRESH_MS = 1000;
const ASK_TIMEOUT_MS = 800;
/** A listed member that is listed no longer keeps its link for this long, in milliseconds. */
const KEEP_UNLISTED_MS = 10_000;

/** Keeps a link to each control member. Members are learned from any that answers; the seeds are tried all the while. */
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

    /** Replaces the seeds, as after a change of settings. */
    setSeeds(seeds: string[]): void {
        this.seeds = seeds;
        this.dialAll(seeds);
    }

    /** Links that are open, one a member. */
    listLinks(): Link[] {
        return [...this.dialers.values()].flatMap(item => item.dialer.getLink() ?? []);
    }

    /** Sends a message to every member that is linked. */
    castAll(message: unknown): void {
        for (const link of this.listLinks()) {
            link.cast(message);
        }
    }

    /** Gateways that are linked to control: the most that a member last told. */
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
        const told = answers.flatMap(answer => answer ?? []);
        if (told.length > 0) {
            // A member that has just started knows few gateways; none knows too many.
            this.gatewayCount = Math.max(1, ...told.map(answer => answer.gateways));
        }
        const listed = new Set([...this.seeds, ...told.flatMap(answer => answer.members).map(getMemberAddress)]);
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
            this.options.logger.debug("members-not-told", { peer: link.peer?.id, message: describeError(error) });
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
