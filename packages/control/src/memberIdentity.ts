import { formatMemberId } from "@kumquathall/control-directory";
import { KumquathallError } from "@kumquathall/errors";
import type { RoleContext } from "@kumquathall/kernel";
import { type Disk, NodeDisk } from "@kumquathall/storage";
import { randomUUID } from "node:crypto";
import type { ControlSettings, FoundingSettings } from "./controlSettings.js";

/** Member id of this process, and the members of the control group with which its log starts. */
export interface MemberIdentity {
    id: string;
    members: string[];
}

const IDENTITY_FILE = "member";
const NONCE_LENGTH = 8;

/** Reads the identity from the settings' list of members or, if there is none, from the data folder. */
export async function readMemberIdentity(context: RoleContext, settings: ControlSettings): Promise<MemberIdentity> {
    if (settings.founding !== undefined) {
        return readFoundingIdentity(new NodeDisk(settings.dataFolder), settings.listen, settings.founding);
    }
    const members = settings.members?.map(member => member.id) ?? [];
    if (!members.includes(context.settings.id)) {
        throw new KumquathallError(
            `settings: /roles/control/members does not name this process ("${context.settings.id}"); add it with its address`,
        );
    }
    return { id: context.settings.id, members };
}

/**
 * Reads the stored identity or, on an empty disk, creates one. A seed at the first start is a founder, with its bare
 * address as its id. Any other process gets a new id, since a former member at its address may have voted or confirmed
 * entries that this disk does not hold; it knows no members until the leader adds it.
 */
export async function readFoundingIdentity(
    disk: Disk,
    listen: string,
    founding: FoundingSettings,
): Promise<MemberIdentity> {
    const names = await disk.list();
    if (names.includes(IDENTITY_FILE)) {
        return JSON.parse(Buffer.from(await disk.read(IDENTITY_FILE)).toString()) as MemberIdentity;
    }
    const isFounder = founding.isFirstStart && founding.seeds.includes(listen);
    const identity: MemberIdentity = isFounder
        ? { id: formatMemberId(listen), members: founding.seeds.map(seed => formatMemberId(seed)).sort() }
        : { id: formatMemberId(listen, randomUUID().slice(0, NONCE_LENGTH)), members: [] };
    await disk.replace(IDENTITY_FILE, Buffer.from(JSON.stringify(identity)));
    return identity;
}
