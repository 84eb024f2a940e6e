import { getMemberAddress } from "@kumquathall/control-directory";

interface Joiner {
    askedAt: number;
    /** When it became a learner; `undefined` if it is none. */
    learnsSince: number | undefined;
}

/** A joiner that has not repeated its request for this long is dropped, in milliseconds. */
const JOINER_TIMEOUT_MS = 1500;
/** A learner that has not been added for this long lets other joiners go first, in milliseconds. */
const LEARNING_TIMEOUT_MS = 3000;

/** The processes that ask to join, in the order in which they are tried. */
export class JoinerQueue {
    private readonly joiners = new Map<string, Joiner>();

    /** Records a request; it shows that any other process that asked at the same address has ended. */
    record(member: string, now: number): void {
        for (const other of this.joiners.keys()) {
            if (other !== member && getMemberAddress(other) === getMemberAddress(member)) {
                this.joiners.delete(other);
            }
        }
        this.joiners.set(member, { askedAt: now, learnsSince: this.joiners.get(member)?.learnsSince });
    }

    /** Lists the ids of the processes that still ask; those that have been learners for too long are last. */
    list(now: number): string[] {
        for (const [member, { askedAt, learnsSince }] of [...this.joiners]) {
            const hasStopped = now - askedAt > JOINER_TIMEOUT_MS;
            const isSlow = learnsSince !== undefined && now - learnsSince > LEARNING_TIMEOUT_MS;
            if (hasStopped || isSlow) {
                this.joiners.delete(member);
            }
            if (isSlow && !hasStopped) {
                this.joiners.set(member, { askedAt, learnsSince: undefined });
            }
        }
        return [...this.joiners.keys()];
    }

    /** Records which of the joiners are learners now. */
    markLearners(learners: readonly string[], now: number): void {
        for (const [member, joiner] of this.joiners) {
            joiner.learnsSince = learners.includes(member) ? joiner.learnsSince ?? now : undefined;
        }
    }
}
