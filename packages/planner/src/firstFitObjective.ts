import { Objective } from "./objective.js";

/** Baseline for benchmarks: places every group in the first domain with room and keeps no spares. */
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
