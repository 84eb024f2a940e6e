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
    /** Called before the engine is ordered to stop. Requests that still run are lost. */
    onRelease: () => void;
}

const PROPOSE_TIMEOUT_MS = 5000;
const RETRY_PAUSE_MS = 200;

/**
 * Executes control's orders for this VM one after the other: load models for a replica group, or release the VM, and
 * confirm. Orders are only accepted under a valid configuration lease, and never with a fencing number lower than that
 * of an order already accepted.
 */
export class OrderTask {
    private isExecuting = false;
    private isClosed = false;
    /** Fencing number of the newest order that was accepted. */
    private newestFencing: FencingNumber = { term: 0, index: 0 };
    private loaded: FencingNumber | undefined;
    private confirmed: FencingNumber | undefined;

    constructor(private readonly options: OrderTaskOptions) {}

    /** Whether the engine has loaded the models of the VM's current assignment. */
    isLoaded(): boolean {
        const vm = this.options.cache.getVm();
        return vm?.state === VmState.Assigned && this.loaded !== undefined
            && compareFencing(this.loaded, vm.fencing) === 0;
    }

    /** Records that the engine no longer has its models loaded. */
    forgetLoad(): void {
        this.loaded = undefined;
    }

    /**
     * Executes the pending orders in the VM's record. A call while orders are being executed returns at once, because
     * the running execution also picks up later orders.
     */
    async check(): Promise<void> {
        if (this.isExecuting || this.isClosed) {
            return;
        }
        this.isExecuting = true;
        try {
            while (!this.isClosed && await this.executeNext()) {
                // Repeats, because the record may have changed in the meantime.
            }
        }
        catch (error) {
            this.options.logger.warn("order-not-done", { message: describeError(error) });
        }
        this.isExecuting = false;
    }

    close(): void {
        this.isClosed = true;
    }

    private async executeNext(): Promise<boolean> {
        const vm = this.options.cache.getVm();
        const isCurrent = vm !== undefined && vm.incarnation === this.options.incarnation
            && this.options.cache.hasLease(performance.now());
        if (!isCurrent || compareFencing(vm.fencing, this.newestFencing) < 0) {
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
        this.newestFencing = vm.fencing;
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
        await this.options.propose(command, performance.now() + PROPOSE_TIMEOUT_MS);
        return true;
    }

    private async release(vm: VmRecord): Promise<boolean> {
        this.newestFencing = vm.fencing;
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
        const result = await this.options.propose(command, performance.now() + PROPOSE_TIMEOUT_MS);
        if (result.kind === "accepted") {
            this.confirmed = vm.fencing;
        }
        return result.kind === "accepted";
    }
}
