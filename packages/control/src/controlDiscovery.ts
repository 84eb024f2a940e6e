import { type ConsensusRuntime, getLastIndex } from "@kumquathall/consensus";
import { ControlDirectory, getMemberAddress } from "@kumquathall/control-directory";
import { describeError } from "@kumquathall/errors";
import type { Link, LinkHandlers, PeerIdentity } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type { Disk } from "@kumquathall/storage";
import type { Command, CommandResult, ControlAnswer, ControlCall, MembersAnswer } from "@kumquathall/types";
import { ControlContacts } from "./controlContacts.js";
import type { FoundingSettings } from "./controlSettings.js";
import { MembershipTask } from "./membershipTask.js";
import { computeGroupSize } from "./planMembership.js";

export interface ControlDiscoveryOptions {
    /** Member id of this process. */
    id: string;
    identity: PeerIdentity;
    /** Address (host:port) at which this process accepts links. */
    listen: string;
    founding: FoundingSettings;
    runtime: ConsensusRuntime<Command, CommandResult>;
    disk: Disk;
    /** Addresses of control processes that the disk holds. */
    storedContacts: string[];
    /** Called for the links that this process opens to other control processes. */
    handlers: LinkHandlers;
    logger: Logger;
    /** Called when the members, or the learners of this leader, change, with their ids. */
    onPeersChange: (peers: readonly string[]) => void;
}

/** Time for a member to answer before another is called, in milliseconds: callers wait a second for three of these. */
const MEMBER_CALL_TIMEOUT_MS = 300;
/** Interval at which the known control processes are stored if they have changed, in milliseconds. */
const SAVE_INTERVAL_MS = 1000;

/**
 * Finds the control group for this process, and for those that know only this one. A process that is no member lists the
 * members as it has learned them: its own log names none, or former ones. A former member that restarts with its old log learns
 * from members that it is none.
 */
export class ControlDiscovery {
    private readonly directory: ControlDirectory;
    private readonly contacts: ControlContacts;
    private readonly membershipTask: MembershipTask;
    private readonly saveTimer: NodeJS.Timeout;

    constructor(private readonly options: ControlDiscoveryOptions) {
        const { id, identity, founding, runtime, logger } = options;
        const contacts = new ControlContacts({ ...options, stored: options.storedContacts });
        const directory = new ControlDirectory({
            identity,
            seeds: this.selectOthers(founding.seeds),
            handlers: options.handlers,
            logger,
            listOthers: () => [...runtime.getMembers().map(getMemberAddress), ...contacts.listLost()],
            listAccepted: () => contacts.listLinks(),
        });
        this.contacts = contacts;
        this.directory = directory;
        this.membershipTask = new MembershipTask({
            id,
            runtime,
            listLinks: () => directory.listLinks(),
            targetMembers: computeGroupSize(founding),
            logger,
            onPeersChange: options.onPeersChange,
        });
        this.saveTimer = setInterval(() => {
            contacts.recordMembers(directory.listMembers());
            void contacts.save();
        }, SAVE_INTERVAL_MS);
    }

    /** Replaces the seeds, for example after the settings were reloaded. */
    setSeeds(seeds: string[]): void {
        this.directory.setSeeds(this.selectOthers(seeds));
    }

    /** Open links to other control processes. */
    listLinks(): Link[] {
        return this.directory.listLinks();
    }

    /** Sends a message to all linked control processes. */
    castAll(message: unknown): void {
        this.directory.castAll(message);
    }

    /** Records a link that another process has opened. A control process is asked for the members that it knows. */
    addLink(link: Link): void {
        if (this.contacts.addLink(link)) {
            void this.directory.askAccepted(link);
        }
    }

    /** Forgets a closed link. */
    removeLink(link: Link): void {
        this.contacts.removeLink(link);
    }

    /** Records that a process asks for membership in the group. */
    recordJoiner(member: string): void {
        this.membershipTask.recordJoiner(member);
    }

    /** Whether this process is a member, or linked to one. */
    canReachMembers(): boolean {
        return this.isMember() || this.directory.listMemberLinks().length > 0;
    }

    /** Calls one member after the other until one returns an answer of `kind`; `undefined` if none does. */
    async callMembers<Kind extends ControlAnswer["kind"]>(
        call: ControlCall,
        kind: Kind,
    ): Promise<Extract<ControlAnswer, { kind: Kind }> | undefined> {
        for (const link of this.directory.listMemberLinks()) {
            try {
                const answer = await link.call(call, MEMBER_CALL_TIMEOUT_MS) as ControlAnswer | undefined;
                if (answer?.kind === kind) {
                    return answer as Extract<ControlAnswer, { kind: Kind }>;
                }
            }
            catch (error) {
                const message = describeError(error);
                this.options.logger.warn("member-call-failed", { peer: link.peer?.id, call: call.kind, message });
            }
        }
        return undefined;
    }

    /** Whether this process is a member: its log says so, and no member with a log that goes further says otherwise. */
    isMember(): boolean {
        const { runtime, id } = this.options;
        return runtime.getMembers().includes(id)
            && !this.directory.isListedWithout(id, getLastIndex(runtime.getState()));
    }

    /** Lists the members; `gateways` is the number of gateways linked to this process. */
    buildMembersAnswer(gateways: number): MembersAnswer {
        const { runtime } = this.options;
        const isMember = this.isMember();
        const learned = isMember ? [] : this.directory.listMembers();
        const members = [...new Set([...runtime.getMembers(), ...learned])];
        return { kind: "members", members, gateways, isMember, committedIndex: runtime.getState().commitIndex };
    }

    close(): void {
        clearInterval(this.saveTimer);
        this.membershipTask.close();
        this.directory.close();
    }

    private selectOthers(seeds: string[]): string[] {
        return seeds.filter(seed => seed !== this.options.listen);
    }
}
