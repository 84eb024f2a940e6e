import { getGroup, getVm, listGroups } from "@kumquathall/control-state";
import { createRandom } from "@kumquathall/load";
import { DowntimeObjective, FirstFitObjective, type Objective, StrandedObjective } from "@kumquathall/planner";
import { GroupState, VmState } from "@kumquathall/types";
import { buildFakeService, confirmAllLoads, FakeControl } from "./fakeState.js";
import { registerBench } from "./registry.js";

/** One twelfth of the servers of the size to design for, and of its failures and restarts in a day. */
const VMS = 1000;
const VMS_PER_DOMAIN = 70;
const VMS_PER_GROUP = 32;
const FAILURES = 8;
const RESTARTS = 117;
const DAY_MS = 86_400_000;
const START_MS = Date.UTC(2026, 0, 1);
/** Time until a failed VM, a restarted VM and the VMs of a failed fabric domain return. */
const REPAIR_MS = 2 * 3_600_000;
const RESTART_MS = 60_000;
const DOMAIN_OUTAGE_MS = 3_600_000;
/** Time from the failure of a VM until control declares it lost, and from a release until agents have confirmed it. */
const DETECT_MS = 3000;
const CONFIRM_MS = 2000;
const WARM_LOAD_MS = 20_000;
const COLD_LOAD_MS = 300_000;
const MAX_LOADING_GROUPS = 8;
const DECLARED_SHARE = 0.9;
const MAX_SHARE_OF_BASELINE = 0.5;
const SEEDS = [1, 2, 3];
const MS_PER_HOUR = 3_600_000;

interface DayResult {
    downtimeHours: number;
    strandedHours: number;
    violations: number;
}

interface DayOptions {
    objective: Objective;
    /** Whether every load is cold, as when groups are always formed from scratch. */
    isAlwaysCold: boolean;
    seed: number;
}

registerBench({
    name: "groups",
    target:
        "a day of failures in virtual time: at most half the baseline's downtime under downtime weights, at most half its stranded hours under stranded weights, no violated invariant",
    run: async print => {
        const ratios: { downtime: number; stranded: number; violations: number }[] = [];
        for (const seed of SEEDS) {
            const baseline = new DayOfFailures({ objective: new FirstFitObjective(), isAlwaysCold: true, seed }).run();
            const downtime = new DayOfFailures({ objective: new DowntimeObjective(), isAlwaysCold: false, seed }).run();
            const stranded = new DayOfFailures({ objective: new StrandedObjective(), isAlwaysCold: false, seed }).run();
            for (
                const [name, result] of [["baseline", baseline], ["downtime weights", downtime], [
                    "stranded weights",
                    stranded,
                ]] as const
            ) {
                print(
                    `seed ${seed}, ${name}: ${result.downtimeHours.toFixed(2)} group hours down, ${
                        result.strandedHours.toFixed(0)
                    } accelerator hours stranded, ${result.violations} violations`,
                );
            }
            ratios.push({
                downtime: downtime.downtimeHours / baseline.downtimeHours,
                stranded: stranded.strandedHours / baseline.strandedHours,
                violations: baseline.violations + downtime.violations + stranded.violations,
            });
        }
        const downtimeRatio = Math.max(...ratios.map(ratio => ratio.downtime));
        const strandedRatio = Math.max(...ratios.map(ratio => ratio.stranded));
        const violations = ratios.reduce((sum, ratio) => sum + ratio.violations, 0);
        const met = downtimeRatio <= MAX_SHARE_OF_BASELINE && strandedRatio <= MAX_SHARE_OF_BASELINE
            && violations === 0;
        return Promise.resolve({ met, downtimeRatio, strandedRatio, breaches: violations });
    },
});

/** Simulates a day of the planner and the state machine, with agents that confirm and load in fixed times. */
class DayOfFailures {
    private readonly control = new FakeControl();
    private readonly random: () => number;
    /** Scheduled events in order of time. */
    private readonly events: { at: number; run: () => void }[] = [];
    private readonly absentVms = new Set<string>();
    private now = START_MS;
    private incarnation = 1;
    private violations = 0;

    constructor(private readonly options: DayOptions) {
        this.random = createRandom(options.seed);
    }

    run(): DayResult {
        this.build();
        this.scheduleDay();
        for (
            let next = this.events.shift();
            next !== undefined && next.at <= START_MS + DAY_MS;
            next = this.events.shift()
        ) {
            this.now = next.at;
            next.run();
            this.plan();
            this.checkInvariants();
        }
        const { metricTotals } = this.control.state;
        return {
            downtimeHours: (metricTotals.groupDowntimeMs.get("institution") ?? 0) / MS_PER_HOUR,
            strandedHours: (metricTotals.strandedAcceleratorMs.get("institution") ?? 0) / MS_PER_HOUR,
            violations: this.violations,
        };
    }

    private formatNow(): string {
        return new Date(this.now).toISOString();
    }

    private schedule(afterMs: number, run: () => void): void {
        const at = this.now + afterMs;
        let index = this.events.length;
        while (index > 0 && this.events[index - 1].at > at) {
            index--;
        }
        this.events.splice(index, 0, { at, run });
    }

    /** Builds a region in which every declared group serves before the day begins. */
    private build(): void {
        const at = this.formatNow();
        for (let number = 0; number < VMS; number++) {
            const domain = Math.floor(number / VMS_PER_DOMAIN);
            this.control.addVm(`vm-${number}`, `domain-${domain}`, `data-centre-${domain % 3}`, at);
        }
        const possible = Math.floor(VMS / VMS_PER_DOMAIN) * Math.floor(VMS_PER_DOMAIN / VMS_PER_GROUP);
        const definition = buildFakeService(0, Math.floor(possible * DECLARED_SHARE), VMS_PER_GROUP, "institution");
        this.control.apply({ kind: "publish", changeId: "c", operator: "o", at, baseVersion: 0, definition });
        for (
            const command of this.control.plan(at, {
                maxLoadingGroups: Number.MAX_SAFE_INTEGER,
                selectObjective: () => this.options.objective,
            })
        ) {
            if (command.kind === "formGroup") {
                confirmAllLoads(this.control, command.groupId, command.vms, at);
            }
        }
    }

    private scheduleDay(): void {
        for (let count = 0; count < FAILURES; count++) {
            this.schedule(this.random() * DAY_MS, () => this.stopVms([this.pickVm()], REPAIR_MS));
        }
        for (let count = 0; count < RESTARTS; count++) {
            this.schedule(this.random() * DAY_MS, () => this.stopVms([this.pickVm()], RESTART_MS));
        }
        const domain = Math.floor(this.random() * Math.floor(VMS / VMS_PER_DOMAIN));
        const members = Array.from({ length: VMS_PER_DOMAIN }, (_, at) => `vm-${domain * VMS_PER_DOMAIN + at}`);
        this.schedule(this.random() * DAY_MS / 2, () => this.stopVms(members, DOMAIN_OUTAGE_MS));
    }

    private pickVm(): string {
        return `vm-${Math.floor(this.random() * VMS)}`;
    }

    private stopVms(vms: string[], forMs: number): void {
        const stopped = vms.filter(vm => !this.absentVms.has(vm));
        stopped.forEach(vm => this.absentVms.add(vm));
        this.schedule(DETECT_MS, () => stopped.forEach(vm => this.registerLoss(vm)));
        this.schedule(forMs, () => stopped.forEach(vm => this.registerReturn(vm)));
    }

    private registerLoss(vm: string): void {
        const record = getVm(this.control.state.configuration, vm);
        if (record === undefined || !this.absentVms.has(vm)) {
            return;
        }
        const members = record.groupId === undefined
            ? []
            : getGroup(this.control.state.configuration, record.groupId)?.vms ?? [];
        this.control.apply({ kind: "loseVm", vm, incarnation: record.incarnation, at: this.formatNow() });
        this.schedule(CONFIRM_MS, () => members.forEach(member => this.confirmRelease(member)));
    }

    private registerReturn(vm: string): void {
        const record = getVm(this.control.state.configuration, vm);
        this.absentVms.delete(vm);
        if (record !== undefined) {
            this.incarnation++;
            this.control.apply({
                kind: "registerVm",
                vm,
                incarnation: String(this.incarnation),
                attributes: record.attributes,
                at: this.formatNow(),
            });
            this.schedule(CONFIRM_MS, () => this.confirmRelease(vm));
        }
    }

    private confirmRelease(vm: string): void {
        if (!this.absentVms.has(vm)) {
            this.control.confirmRelease(vm, this.formatNow());
        }
    }

    private plan(): void {
        const commands = this.control.plan(this.formatNow(), {
            maxLoadingGroups: MAX_LOADING_GROUPS,
            selectObjective: () => this.options.objective,
        });
        for (const command of commands) {
            if (command.kind === "formGroup") {
                const serviceVersion = `${command.institution}/${command.service}@${command.serviceVersion}`;
                const isWarm = !this.options.isAlwaysCold
                    && command.vms.every(vm => getVm(this.control.state.configuration, vm)?.warmFor === serviceVersion);
                this.schedule(
                    isWarm ? WARM_LOAD_MS : COLD_LOAD_MS,
                    () =>
                        confirmAllLoads(
                            this.control,
                            command.groupId,
                            command.vms.filter(vm => !this.absentVms.has(vm)),
                            this.formatNow(),
                        ),
                );
            }
            else if (command.kind === "drainGroup") {
                this.schedule(CONFIRM_MS, () => this.releaseDrained(command.groupId));
            }
        }
    }

    private releaseDrained(groupId: string): void {
        const members = getGroup(this.control.state.configuration, groupId)?.vms ?? [];
        this.control.apply({ kind: "releaseGroup", groupId, reason: "drained", at: this.formatNow() });
        members.forEach(vm => this.confirmRelease(vm));
    }

    /**
     * Counts violations of each group that is not being released: a VM that is lost or not assigned to it, VMs of two
     * fabric domains, or a VM that is also in another group.
     */
    private checkInvariants(): void {
        const { configuration } = this.control.state;
        const owners = new Map<string, string>();
        for (const group of listGroups(configuration)) {
            if (group.state === GroupState.Releasing) {
                continue;
            }
            const records = group.vms.map(vm => getVm(configuration, vm));
            const isBroken = records.some(record =>
                record?.state !== VmState.Assigned || record.groupId !== group.id || !record.present
            );
            const isSpread = new Set(records.map(record => record?.attributes.fabricDomain)).size > 1;
            const isShared = group.vms.some(vm => owners.has(vm));
            group.vms.forEach(vm => owners.set(vm, group.id));
            this.violations += Number(isBroken) + Number(isSpread) + Number(isShared);
        }
    }
}
