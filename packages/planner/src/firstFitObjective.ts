import { Objective } from "./objective.js";

/** Baseline for measurements: forms every group from scratch in the first domain that has room, and keeps nothing spare. */
export class FirstFitObjective extends Objective {
    override countSpares(): number {
        return 0;
    }

    override canUseSurplus(): boolean {
        return false;
    }

    override computeCost(): number {
        return 0;
    }
}
