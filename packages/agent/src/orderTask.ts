import { compareFencing } from "@kumquathall/control-state";
import { describeError } from "@kumquathall/errors";
import { canConfirmRelease, type MemberGrants } from "@kumquathall/group-lease";
import type { Logger } from "@kumquathall/logger";
import {
    type Command,
    type CommandResult,
    type FencingNumber,
    GroupState,
    type VmRecord,
    VmState,
} from "@kumquathall/types";
import type { ConfigurationCache } from "./configurationCache.js";
import type { EngineClient } from "./engineClient.js";

export interface OrderTaskOptions {
    vm: string;
    incarnation: string;
    cache: ConfigurationCache;
    engine: EngineClient;
    logger: Logger;
    getGrants: () => MemberGrants;
    propose: (command: Command, until: number) => Promise<CommandResult>;
    /** Called before the engine is stopped: whatever still runs is lost. */
    onRelease: () => void;
}

const PROPOSE_FOR_MS = 5000;
const RETRY_PAUSE_MS = 200;

/**
 * Carries out control's orders for this VM, one at a time and newest last: load for a group, or stop and confirm.
 * An order is taken only while the configuration lease holds, and never under a number older than one already taken.
 */
export class OrderTask {
    private isWorking = false;
    private isClosed = false;
    private taken: FencingNumber = { term: 0, index: 0 };
    private loaded: FencingNumber | undefined;
    private confirmed: FencingNumber | undefined;

    constructor(private readonly options: OrderTaskOptions) {}

    /** Whether the engine holds what the VM's newest assignment asks for. */
    isLoaded(): boolean {
        const vm = this.options.cache.getVm();
        return vm?.state === VmState.Assigned && this.loaded !== undefined
            && compareFencing(this.loaded, vm.fencing) === 0;
    }

    /** The engine lost what it had loaded. */
    forgetLoad(): void {
        this.loaded = undefined;
    }

    /** Looks at the VM's record and does what is still to be done. Calls during work are covered by it. */
    async check(): Promise<void> {
        if (this.isWorking || this.isClosed) {
            return;
        }
        this.isWorking = true;
        try {
            while (!this.isClosed && await this.carryOutNext()) {
                // The record may have changed during the work.
            }
        }
        catch (error) {
            this.options.logger.warn("order-not-done", { message: describeError(error) });
        }
        this.isWorking = false;
    }

    close(): void {
        this.isClosed = true;
    }

    private async carryOutNext(): Promise<boolean> {
        const vm = this.options.cache.getVm();
        const isCurrent = vm !== undefined && vm.incarnation === this.options.incarnation
            && this.options.cache.hasLease(performance.now());
        if (!isCurrent || compareFencing(vm.fencing, this.taken) < 0) {
            return false;
        }
        if (vm.state === VmState.Assigned && !this.isLoaded()) {
            return await this.load(vm);
        }
        if (vm.state === VmState.Releasing && !this.hasConfirmed(vm)) {
            return await this.release(vm);
        }
        return false;
    }

    private hasConfirmed(vm: VmRecord): boolean {
        return this.confirmed !== undefined && compareFencing(this.confirmed, vm.fencing) >= 0;
    }

    private async load(vm: VmRecord): Promise<boolean> {
        const group = this.options.cache.getGroup();
        if (group === undefined || group.state !== GroupState.Loading) {
            return false;
        }
        this.taken = vm.fencing;
        this.options.logger.info("order-load", { group: group.id, fencing: `${vm.fencing.term}.${vm.fencing.index}` });
        await this.options.engine.load(group.models, vm.fencing);
        const current = this.options.cache.getVm();
        if (current === undefined || compareFencing(current.fencing, vm.fencing) !== 0) {
            return true;
        }
        this.loaded = vm.fencing;
        const { vm: id, incarnation } = this.options;
        const command: Command = {
            kind: "confirmLoad",
            groupId: group.id,
            vm: id,
            incarnation,
            fencing: vm.fencing,
            at: new Date().toISOString(),
        };
        await this.options.propose(command, performance.now() + PROPOSE_FOR_MS);
        return true;
    }

    private async release(vm: VmRecord): Promise<boolean> {
        this.taken = vm.fencing;
        this.loaded = undefined;
        this.options.logger.info("order-release", { fencing: `${vm.fencing.term}.${vm.fencing.index}` });
        this.options.onRelease();
        await this.options.engine.release(vm.fencing);
        while (!canConfirmRelease(this.options.getGrants(), performance.now())) {
            await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
        }
        const { vm: id, incarnation } = this.options;
        const command: Command = {
            kind: "confirmRelease",
            vm: id,
            incarnation,
            fencing: vm.fencing,
            at: new Date().toISOString(),
        };
        const result = await this.options.propose(command, performance.now() + PROPOSE_FOR_MS);
        if (result.kind === "accepted") {
            this.confirmed = vm.fencing;
        }
        return result.kind === "accepted";
    }
}
