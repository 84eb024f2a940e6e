import { isSameFencing } from "@kumquathall/control-state";
import {
    createHeadLeases,
    createMemberGrants,
    decideGrant,
    DEFAULT_GROUP_LEASE_TIMING,
    type GroupLeaseTiming,
    type HeadLeases,
    type MemberGrants,
    recordGrant,
} from "@kumquathall/group-lease";
import type { RoleContext } from "@kumquathall/kernel";
import { LinkDialer, LinkListener, parseAddress, type PeerIdentity } from "@kumquathall/link";
import { GroupState, type LeaseAnswer, type LeaseCall, VmState } from "@kumquathall/types";
import type { ConfigurationCache } from "./configurationCache.js";

export interface LeaseTaskOptions {
    context: RoleContext;
    identity: PeerIdentity;
    vm: string;
    listen: string;
    cache: ConfigurationCache;
    isEngineLoaded: () => boolean;
    timing?: GroupLeaseTiming;
}

/** Replica group leases: as the head of a group, requests a lease from every member; as a member, grants them. */
export class LeaseTask {
    private readonly timing: GroupLeaseTiming;
    private headLeases: HeadLeases | undefined;
    private grants: MemberGrants;
    private readonly dialers = new Map<string, LinkDialer>();
    private listener: LinkListener | undefined;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly options: LeaseTaskOptions) {
        this.timing = options.timing ?? DEFAULT_GROUP_LEASE_TIMING;
        this.grants = createMemberGrants(performance.now(), this.timing);
    }

    static async start(options: LeaseTaskOptions): Promise<LeaseTask> {
        const task = new LeaseTask(options);
        task.listener = await LinkListener.listen({
            address: parseAddress(options.listen),
            tls: options.context.tls?.(),
            identity: options.identity,
            handlers: { onCall: message => task.handleLeaseCall(message as LeaseCall) },
        });
        task.timer = setInterval(() => task.refreshLeases(), task.timing.intervalMs);
        return task;
    }

    /** Leases that this VM holds as head of its group; `undefined` if it is not a head. */
    getHeadLeases(): HeadLeases | undefined {
        return this.headLeases;
    }

    getGrants(): MemberGrants {
        return this.grants;
    }

    close(): void {
        clearInterval(this.timer);
        this.listener?.close();
        this.dialers.forEach(dialer => dialer.close());
    }

    private handleLeaseCall(call: LeaseCall): LeaseAnswer {
        const { identity, cache } = this.options;
        const decision = decideGrant({
            grants: this.grants,
            vm: cache.getVm(),
            incarnation: identity.incarnation,
            isEngineLoaded: this.options.isEngineLoaded(),
            groupId: call.groupId,
            fencing: call.fencing,
            now: performance.now(),
            timing: this.timing,
        });
        if (!decision.isGranted) {
            return { isGranted: false, incarnation: identity.incarnation, reason: decision.reason };
        }
        this.grants = decision.grants;
        return { isGranted: true, incarnation: identity.incarnation, reason: "" };
    }

    private refreshLeases(): void {
        const { cache, vm } = this.options;
        const group = cache.getGroup();
        const isHead = group !== undefined && group.vms[0] === vm && cache.getVm()?.state === VmState.Assigned;
        if (!isHead || group.state === GroupState.Releasing) {
            this.clearLeases();
            return;
        }
        if (
            this.headLeases === undefined || this.headLeases.groupId !== group.id
            || !isSameFencing(this.headLeases.fencing, group.fencing)
        ) {
            this.clearLeases();
            this.headLeases = createHeadLeases(group.id, group.fencing, group.vms);
        }
        for (const member of group.vms) {
            void this.refreshLease(member, this.headLeases);
        }
    }

    private clearLeases(): void {
        this.headLeases = undefined;
        this.dialers.forEach(dialer => dialer.close());
        this.dialers.clear();
    }

    private async refreshLease(member: string, requested: HeadLeases): Promise<void> {
        const call: LeaseCall = { kind: "lease", groupId: requested.groupId, fencing: requested.fencing };
        const sentAt = performance.now();
        const answer = member === this.options.vm
            ? this.handleLeaseCall(call)
            : await this.getDialer(member)?.call(call, this.timing.leaseMs).catch(() => undefined) as
                | LeaseAnswer
                | undefined;
        const isSameGroup = this.headLeases !== undefined && this.headLeases.groupId === requested.groupId
            && isSameFencing(this.headLeases.fencing, requested.fencing);
        if (answer?.isGranted === true && isSameGroup && this.headLeases !== undefined) {
            this.headLeases = recordGrant(this.headLeases, member, sentAt, this.timing);
        }
    }

    private getDialer(member: string): LinkDialer | undefined {
        const known = this.dialers.get(member);
        const address = this.options.cache.getAddress(member);
        if (known !== undefined || address === undefined) {
            return known;
        }
        const { context, identity } = this.options;
        const dialer = new LinkDialer({ address: parseAddress(address), tls: context.tls, identity, handlers: {} });
        this.dialers.set(member, dialer);
        return dialer;
    }
}
