import { KumquathallError } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { ControlAnswer, PermitGrant, PermitWant } from "@kumquathall/types";

const CALL_TIMEOUT_MS = 250;
/** A member may name a former leader. */
const MAX_CALLS = 3;

/** Asks the leading control member for permits. */
export class PermitClient {
    private leaderId: string | undefined;

    /** `listLinks` returns the open links to control members. */
    constructor(private readonly listLinks: () => Link[]) {}

    /** Rejects if no leader answers. Permits whose answer is lost are not used. */
    async take(wants: PermitWant[]): Promise<PermitGrant[]> {
        for (let calls = 0; calls < MAX_CALLS; calls++) {
            const links = this.listLinks();
            const link = links.find(item => item.peer?.id === this.leaderId) ?? links[calls];
            if (link === undefined) {
                break;
            }
            this.leaderId = undefined;
            const answer = await link.call({ kind: "takePermits", wants }, CALL_TIMEOUT_MS) as ControlAnswer;
            if (answer.kind === "permits") {
                this.leaderId = link.peer?.id;
                return answer.grants;
            }
            this.leaderId = answer.kind === "notLeader" ? answer.leader : undefined;
        }
        throw new KumquathallError(
            "no control member that leads can be reached; permits are shared out evenly until one is",
        );
    }
}
