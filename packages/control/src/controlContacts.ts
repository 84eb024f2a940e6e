import { getMemberAddress } from "@kumquathall/control-directory";
import { describeError } from "@kumquathall/errors";
import type { Link, PeerIdentity } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type { Disk } from "@kumquathall/storage";

export interface ControlContactsOptions {
    identity: PeerIdentity;
    disk: Disk;
    logger: Logger;
    /** Addresses that the disk holds, as {@link readContacts} returns them. */
    stored: string[];
}

const MAX_PORT = 65_535;
const CONTACTS_FILE = "contacts";
/** How long a control process without a link is looked for, in milliseconds. */
const LOOK_FOR_MS = 600_000;
/** Most addresses that are kept; those that were linked last stay. */
const MAX_CONTACTS = 64;

/** Whether a text is an address to which a link can be opened; the id of a peer, which it has chosen, may be anything. */
function isAddress(text: string): boolean {
    const port = Number(/^[^:\s]+:([0-9]{1,5})$/.exec(text)?.[1]);
    return port > 0 && port <= MAX_PORT;
}

/** Reads the stored addresses of control processes. None if there are none, or if they can't be read. */
export async function readContacts(disk: Disk, logger: Logger): Promise<string[]> {
    try {
        if (!(await disk.list()).includes(CONTACTS_FILE)) {
            return [];
        }
        const parsed: unknown = JSON.parse(Buffer.from(await disk.read(CONTACTS_FILE)).toString());
        return Array.isArray(parsed) ? parsed.filter(item => typeof item === "string") : [];
    }
    catch (error) {
        logger.warn("contacts-not-read", { message: describeError(error) });
        return [];
    }
}

/**
 * The control processes that this one knows, members and others. Those that have lost their link to it are looked for:
 * such a process may have restarted with seeds that are no members either, and without its disk. The addresses are
 * stored, so that they are also looked for after a failure of all processes.
 */
export class ControlContacts {
    private readonly accepted = new Set<Link>();
    /** Monotonic time at which each address was last known to be linked. */
    private readonly knownAt = new Map<string, number>();
    private savedText = "";
    private isSaving = false;

    constructor(private readonly options: ControlContactsOptions) {
        this.recordAddresses(options.stored);
        this.savedText = this.formatAddresses();
    }

    /** Records a link that another process has opened; returns whether that is a control process of the same group. */
    addLink(link: Link): boolean {
        const { identity } = this.options;
        if (link.peer?.role !== identity.role || link.peer.controlGroup !== identity.controlGroup) {
            return false;
        }
        this.accepted.add(link);
        this.recordAddresses([getMemberAddress(link.peer.id)]);
        void this.save();
        return true;
    }

    removeLink(link: Link): void {
        if (this.accepted.delete(link) && link.peer !== undefined) {
            this.recordAddresses([getMemberAddress(link.peer.id)]);
        }
    }

    /** Records members, as members have listed them. */
    recordMembers(members: readonly string[]): void {
        this.recordAddresses(members.map(getMemberAddress));
    }

    /** Open links that control processes have opened to this one. */
    listLinks(): Link[] {
        return [...this.accepted].filter(link => link.isOpen());
    }

    /** Addresses to look for: those known in the last ten minutes that have no link to this process. */
    listLost(): string[] {
        const now = performance.now();
        const linked = new Set(this.listLinks().map(link => getMemberAddress(link.peer?.id ?? "")));
        linked.forEach(address => this.knownAt.set(address, now));
        for (const [address, knownAt] of this.knownAt) {
            if (now - knownAt > LOOK_FOR_MS) {
                this.knownAt.delete(address);
            }
        }
        return [...this.knownAt.keys()].filter(address => !linked.has(address));
    }

    /** Stores the addresses if they have changed. What can't be stored is tried again at the next call. */
    async save(): Promise<void> {
        const { disk, logger } = this.options;
        if (this.isSaving) {
            return;
        }
        this.isSaving = true;
        try {
            // They may change again while they are written.
            for (let text = this.formatAddresses(); text !== this.savedText; text = this.formatAddresses()) {
                await disk.replace(CONTACTS_FILE, Buffer.from(text));
                this.savedText = text;
            }
        }
        catch (error) {
            logger.debug("contacts-not-stored", { message: describeError(error) });
        }
        this.isSaving = false;
    }

    private recordAddresses(addresses: string[]): void {
        const now = performance.now();
        const own = getMemberAddress(this.options.identity.id);
        for (const address of addresses) {
            if (address !== own && isAddress(address)) {
                // Moves the address to the end, so that the one that was known last is first.
                this.knownAt.delete(address);
                this.knownAt.set(address, now);
            }
        }
        for (const address of [...this.knownAt.keys()].slice(0, Math.max(0, this.knownAt.size - MAX_CONTACTS))) {
            this.knownAt.delete(address);
        }
    }

    private formatAddresses(): string {
        return JSON.stringify([...this.knownAt.keys()].sort());
    }
}
