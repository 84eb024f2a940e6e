import { getGroup, getVm, listGroups } from "@kumquathall/control-state";
import { createRandom } from "@kumquathall/load";
import { DowntimeObjective, FirstFitObjective, type Objective, StrandedObjective } from "@kumquathall/planner";
import { GroupState, VmState } from "@kumquathall/types";
import { buildFakeService, confirmAllLoads, FakeControl } from "./fakeState.js";
import { registerBench } from "./registry.js";

/** A twelfth of the design's servers and of its day. */
const VMS = 1000;
const VMS_PER_DOMAIN = 70;
const VMS_PER_GROUP = 32;
const FAILURES = 8;
const RESTARTS = 117;
const DAY_MS = 86_400_000;
const START_MS = Date.UTC(2026, 0, 1);
/** How long a failed VM, a restarted VM and a dark fabric domain are away. */
const REPAIR_MS = 2 * 3_600_000;
const RESTART_MS = 60_000;
const DARK_MS = 3_600_000;
/** From a VM's end until control declares it lost, and from an order to stop until the agents have confirmed. */
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
    breaches: number;
}

interface DayOptions {
    objective: Objective;
    /** Every load is cold, as when groups are always formed from scratch. */
    isAlwaysCold: boolean;
    seed: number;
}

registerBench({
    name: "groups",
    target:
        "a day of failures in virtual time: at most half the baseline's downtime under downtime weights, at most half its stranded hours under stranded weights, no breach",
    run: async print => {
        const ratios: { downtime: number; stranded: number; breaches: number }[] = [];
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
                    } accelerator hours stranded, ${result.breaches} breaches`,
                );
            }
            ratios.push({
                downtime: downtime.downtimeHours / baseline.downtimeHours,
                stranded: stranded.strandedHours / baseline.strandedHours,
                breaches: baseline.breaches + downtime.breaches + stranded.breaches,
            });
        }
        const downtimeRatio = Math.max(...ratios.map(ratio => ratio.downtime));
        const strandedRatio = Math.max(...ratios.map(ratio => ratio.stranded));
        const breaches = ratios.reduce((sum, ratio) => sum + ratio.breaches, 0);
        const met = downtimeRatio <= MAX_SHARE_OF_BASELINE && strandedRatio <= MAX_SHARE_OF_BASELINE && breaches === 0;
        return Promise.resolve({ met, downtimeRatio, strandedRatio, breaches });
    },
});

/** Drives the planner and the state machine through a day, with agents that confirm and load in fixed times. */
class DayOfFailures {
    private readonly control = new FakeControl();
    private readonly random: () => number;
    /** Due actions in order of time. */
    private readonly agenda: { at: number; act: () => void }[] = [];
    private readonly away = new Set<string>();
    private now = START_MS;
    private incarnation = 1;
    private breaches = 0;

    constructor(private readonly options: DayOptions) {
        this.random = createRandom(options.seed);
    }

    run(): DayResult {
        this.build();
        this.scheduleDay();
        for (
            let next = this.agenda.shift();
            next !== undefined && next.at <= START_MS + DAY_MS;
            next = this.agenda.shift()
        ) {
            this.now = next.at;
            next.act();
            this.plan();
            this.checkPromises();
        }
        const { metricTotals: measures } = this.control.state;
        return {
            downtimeHours: (measures.groupDowntimeMs.get("institution") ?? 0) / MS_PER_HOUR,
            strandedHours: (measures.strandedAcceleratorMs.get("institution") ?? 0) / MS_PER_HOUR,
            breaches: this.breaches,
        };
    }

    private formatNow(): string {
        return new Date(this.now).toISOString();
    }

    private schedule(afterMs: number, act: () => void): void {
        const at = this.now + afterMs;
        let index = this.agenda.length;
        while (index > 0 && this.agenda[index - 1].at > at) {
            index--;
        }
        this.agenda.splice(index, 0, { at, act });
    }

    /** A region at work: every declared group serves before the day begins. */
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
            this.schedule(this.random() * DAY_MS, () => this.dropVms([this.pickVm()], REPAIR_MS));
        }
        for (let count = 0; count < RESTARTS; count++) {
            this.schedule(this.random() * DAY_MS, () => this.dropVms([this.pickVm()], RESTART_MS));
        }
        const domain = Math.floor(this.random() * Math.floor(VMS / VMS_PER_DOMAIN));
        const members = Array.from({ length: VMS_PER_DOMAIN }, (_, at) => `vm-${domain * VMS_PER_DOMAIN + at}`);
        this.schedule(this.random() * DAY_MS / 2, () => this.dropVms(members, DARK_MS));
    }

    private pickVm(): string {
        return `vm-${Math.floor(this.random() * VMS)}`;
    }

    private dropVms(vms: string[], forMs: number): void {
        const gone = vms.filter(vm => !this.away.has(vm));
        gone.forEach(vm => this.away.add(vm));
        this.schedule(DETECT_MS, () => gone.forEach(vm => this.registerLoss(vm)));
        this.schedule(forMs, () => gone.forEach(vm => this.registerReturn(vm)));
    }

    private registerLoss(vm: string): void {
        const record = getVm(this.control.state.configuration, vm);
        if (record === undefined || !this.away.has(vm)) {
            return;
        }
        const members = record.groupId === undefined
            ? []
            : getGroup(this.control.state.configuration, record.groupId)?.vms ?? [];
        this.control.apply({ kind: "loseVm", vm, incarnation: record.incarnation, at: this.formatNow() });
        this.schedule(CONFIRM_MS, () => members.forEach(member => this.confirm(member)));
    }

    private registerReturn(vm: string): void {
        const record = getVm(this.control.state.configuration, vm);
        this.away.delete(vm);
        if (record !== undefined) {
            this.incarnation++;
            this.control.apply({
                kind: "registerVm",
                vm,
                incarnation: String(this.incarnation),
                attributes: record.attributes,
                at: this.formatNow(),
            });
            this.schedule(CONFIRM_MS, () => this.confirm(vm));
        }
    }

    private confirm(vm: string): void {
        if (!this.away.has(vm)) {
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
                const warmth = `${command.institution}/${command.service}@${command.serviceVersion}`;
                const isWarm = !this.options.isAlwaysCold
                    && command.vms.every(vm => getVm(this.control.state.configuration, vm)?.warmFor === warmth);
                this.schedule(
                    isWarm ? WARM_LOAD_MS : COLD_LOAD_MS,
                    () =>
                        confirmAllLoads(
                            this.control,
                            command.groupId,
                            command.vms.filter(vm => !this.away.has(vm)),
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
        members.forEach(vm => this.confirm(vm));
    }

    /** No VM in two groups, no serving group with a VM that control knows to be gone, one fabric domain a group. */
    private checkPromises(): void {
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
            this.breaches += Number(isBroken) + Number(isSpread) + Number(isShared);
        }
    }
}
