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
import type { ControlAnswer, MembersAnswer } from "@kumquathall/types";
import { getMemberAddress } from "./memberId.js";

export interface ControlDirectoryOptions {
    identity: PeerIdentity;
    /** Addresses (host:port) at which control processes are likely to listen. */
    seeds: string[];
    /** Called for the links that this process opens. */
    handlers: LinkHandlers;
    logger: Logger;
    heartbeatMs?: number;
    silenceMs?: number;
    /** Interval at which linked control processes are asked for the list of members, in milliseconds. */
    refreshMs?: number;
    /** Returns further addresses to link to, at each refresh; none by default. */
    listOthers?: () => string[];
    /** Returns links that control processes have opened to this one; they are asked while no member has answered. */
    listAccepted?: () => Link[];
}

const DEFAULT_REFRESH_MS = 1000;
/** Pause before linked processes are asked again while none of them knows a member, in milliseconds. */
const SEARCH_PAUSE_MS = 200;
const ASK_TIMEOUT_MS = 800;
/** How long the link to a member that is no longer listed is kept, in milliseconds. */
const KEEP_UNLISTED_MS = 10_000;

/**
 * Keeps a link to each control member. Every linked control process is asked for the list; the seeds always count as
 * listed. A seed may be no member: what it lists is what it has learned from members.
 */
export class ControlDirectory {
    private readonly dialers = new Map<string, { dialer: LinkDialer; listedAt: number }>();
    private seeds: string[];
    private gatewayCount = 1;
    /** Members as listed by members themselves, in the newest refresh in which one answered. */
    private members: readonly string[] = [];
    /** The list of the member whose log was committed furthest. */
    private newestList: { members: readonly string[]; committedIndex: number } | undefined;
    private searchTimer: NodeJS.Timeout | undefined;
    private isClosed = false;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: ControlDirectoryOptions) {
        this.seeds = options.seeds;
        this.dialAll([...options.seeds, ...options.listOthers?.() ?? []]);
        this.timer = setInterval(() => void this.refresh(), options.refreshMs ?? DEFAULT_REFRESH_MS);
    }

    /** Replaces the seeds, for example after the settings were reloaded. */
    setSeeds(seeds: string[]): void {
        this.seeds = seeds;
        this.dialAll(seeds);
    }

    /** Open links, one for each listed control process. */
    listLinks(): Link[] {
        return [...this.dialers.values()].flatMap(item => item.dialer.getLink() ?? []);
    }

    /** Ids of the members, as members last listed them; empty until the first of them has answered. */
    listMembers(): readonly string[] {
        return this.members;
    }

    /** Whether a member whose log was committed beyond `lastIndex` has listed the members without this one. */
    isListedWithout(member: string, lastIndex: number): boolean {
        const { newestList } = this;
        return newestList !== undefined && newestList.committedIndex > lastIndex
            && !newestList.members.includes(member);
    }

    /** Open links to processes that members have listed as members. */
    listMemberLinks(): Link[] {
        return this.listLinks().filter(link => link.peer !== undefined && this.members.includes(link.peer.id));
    }

    /** Sends a message to every linked member. */
    castAll(message: unknown): void {
        castToAll(this.listLinks(), message);
    }

    /** Number of gateways linked to control: the highest reported at the last refresh with an answer; at least 1. */
    countGateways(): number {
        return this.gatewayCount;
    }

    /** Asks a control process that has opened a link to this one for the members, and links to them. */
    async askAccepted(link: Link): Promise<void> {
        const answer = await this.askMembers(link);
        if (answer !== undefined) {
            this.dialAll(answer.members.map(getMemberAddress));
        }
    }

    close(): void {
        this.isClosed = true;
        clearInterval(this.timer);
        clearTimeout(this.searchTimer);
        for (const { dialer } of this.dialers.values()) {
            dialer.close();
        }
    }

    private async refresh(): Promise<void> {
        const { listOthers, listAccepted } = this.options;
        const accepted = this.members.length === 0 ? listAccepted?.() ?? [] : [];
        const links = [...this.listLinks(), ...accepted];
        const answers = await Promise.all(links.map(link => this.askMembers(link)));
        if (this.isClosed) {
            return;
        }
        const received = answers.flatMap(answer => answer ?? []);
        if (received.length > 0) {
            // A member that has just started reports too few gateways; no member reports too many.
            this.gatewayCount = Math.max(1, ...received.map(answer => answer.gateways));
        }
        this.recordMembers(received);
        const members = received.flatMap(answer => answer.members);
        this.dialAll([...this.seeds, ...members.map(getMemberAddress), ...listOthers?.() ?? []]);
        this.closeUnlisted();
        if (links.length > 0 && members.length === 0) {
            this.scheduleSearch();
        }
    }

    /** Records what members list. What others have learned is not recorded, so that no list outlives its members. */
    private recordMembers(answers: MembersAnswer[]): void {
        const lists = answers.filter(answer => answer.isMember !== false);
        const members = lists.flatMap(answer => answer.members);
        if (members.length > 0) {
            this.members = [...new Set(members)].sort();
        }
        for (const { members: listed, committedIndex } of lists) {
            if (committedIndex !== undefined && committedIndex >= (this.newestList?.committedIndex ?? 0)) {
                this.newestList = { members: listed, committedIndex };
            }
        }
    }

    private closeUnlisted(): void {
        const now = performance.now();
        for (const [address, item] of this.dialers) {
            if (now - item.listedAt > KEEP_UNLISTED_MS) {
                item.dialer.close();
                this.dialers.delete(address);
                this.options.logger.info("control-member-dropped", { address });
            }
        }
    }

    /** Asks again soon: the linked processes may find the members at any moment, and this one is idle without them. */
    private scheduleSearch(): void {
        clearTimeout(this.searchTimer);
        this.searchTimer = setTimeout(() => void this.refresh(), SEARCH_PAUSE_MS);
    }

    private async askMembers(link: Link): Promise<MembersAnswer | undefined> {
        try {
            const answer = await link.call({ kind: "members" }, ASK_TIMEOUT_MS) as ControlAnswer | undefined;
            return answer?.kind === "members" ? answer : undefined;
        }
        catch (error) {
            this.options.logger.debug("members-call-failed", { peer: link.peer?.id, message: describeError(error) });
            return undefined;
        }
    }

    private dialAll(addresses: string[]): void {
        if (this.isClosed) {
            return;
        }
        const now = performance.now();
        const own = getMemberAddress(this.options.identity.id);
        for (const address of addresses.filter(item => item !== own)) {
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
