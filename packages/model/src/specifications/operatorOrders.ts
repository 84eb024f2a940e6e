import { OperatorOrder } from "@kumquathall/control";
import { applyCommand, type ControlState, createControlState, isDataCentreEvacuated } from "@kumquathall/control-state";
import { type DrainCommand, DrainKind } from "@kumquathall/types";
import { type Invariant, Specification, type Transition } from "../explore.js";

const AT = "2026-01-01T00:00:00.000Z";
const ZONE = "z";
/** One unit of model time in milliseconds. */
const UNIT_MS = 500;
/** Time after which the operator moves on, in units. */
const CALLER_UNITS = 2;
/** Ages beyond this behave alike, in units. */
const HORIZON_UNITS = 3;

/** Where a copy of an order is. */
const Place = { Network: "network", Socket: "socket", Process: "process", Link: "link" } as const;
type PlaceValue = (typeof Place)[keyof typeof Place];

interface Copy {
    /** Number of sends that were left. */
    id: number;
    /** Number of the order: odd ones evacuate, even ones withdraw. */
    order: number;
    process: number;
    place: PlaceValue;
    /** Time since its connection was opened, in units, and the revision at that time. */
    idleUnits: number;
    idleRevision: number;
    /** Longest time for which it may have waited at its process, in units. */
    waitedUnits: number;
    since: number;
    /** Whether the network has held it, of which no process knows. */
    wasHeldUp: boolean;
}

interface Process {
    isFrozen: boolean;
    /** Time for which it has been frozen, in units. */
    frozenUnits: number;
}

export interface OperatorOrdersState {
    control: ControlState;
    index: number;
    processes: readonly Process[];
    copies: readonly Copy[];
    /** Newest order that was sent, and newest one that was confirmed. */
    sent: number;
    confirmed: number;
    /** Copy whose answer the operator waits for, the process that has it, and for how many units. */
    waitingFor: { id: number; process: number } | undefined;
    waitingUnits: number;
    sendsLeft: number;
    freezesLeft: number;
    /** What a process did too late. */
    fault: string | undefined;
}

export interface OperatorOrdersOptions {
    name: string;
    disabledGuard?: string;
    processes: number;
    orders: number;
    sends: number;
    freezes: number;
}

/**
 * An operator that gives opposite orders, one after the other, and sends each to another process after a time without an answer.
 * Processes freeze, and the network and the links hold copies for any time. Whether a copy is sent on, which revision it
 * follows and whether it takes effect is decided by the product.
 */
export class OperatorOrdersSpecification extends Specification<OperatorOrdersState> {
    override readonly name: string;
    override readonly bounds: string;
    override readonly invariants: Invariant<OperatorOrdersState>[] = [
        { name: "the last order holds once it is confirmed", check: describeUndoneOrder },
        {
            name: "an order that a process has held is not sent on once its caller has moved on",
            check: ({ fault }) => fault,
        },
    ];

    constructor(private readonly options: OperatorOrdersOptions) {
        super();
        this.name = options.name;
        this.bounds = `${options.processes} processes, ${options.orders} orders, ${options.sends} sends, `
            + `${options.freezes} freezes, any delay`;
    }

    override create(): OperatorOrdersState {
        return {
            control: createControlState(),
            index: 0,
            processes: Array.from({ length: this.options.processes }, () => ({ isFrozen: false, frozenUnits: 0 })),
            copies: [],
            sent: 0,
            confirmed: 0,
            waitingFor: undefined,
            waitingUnits: 0,
            sendsLeft: this.options.sends,
            freezesLeft: this.options.freezes,
            fault: undefined,
        };
    }

    override listTransitions(state: OperatorOrdersState): Transition<OperatorOrdersState>[] {
        const transitions = [...this.listSends(state), ...this.listFreezes(state)];
        state.copies.forEach((copy, at) => transitions.push(...this.listMoves(state, copy, at)));
        const isReading = state.copies.some(copy =>
            (copy.place === Place.Socket || copy.place === Place.Process) && !state.processes[copy.process].isFrozen
        );
        // A process that runs reads and sends at once, and the operator moves on in time.
        if (!isReading && state.waitingUnits < CALLER_UNITS) {
            transitions.push({ name: "time passes", apply: () => passTime(state) });
        }
        return transitions;
    }

    /** Processes are interchangeable, and revisions matter only in so far as the data centre has changed after them. */
    override encode(state: OperatorOrdersState): string {
        const { control, copies, processes, waitingFor, ...others } = state;
        const [entry] = control.configuration.entries.values();
        const changedAt = entry?.revision ?? 0;
        const encoded = processes.map((process, at) => {
            const own = copies.filter(copy => copy.process === at).map(copy => {
                const isFollowing = copy.since >= changedAt;
                const isNewlyUsed = copy.idleRevision >= changedAt;
                const isAwaited = copy.id === waitingFor?.id;
                return JSON.stringify([
                    { ...copy, id: isAwaited, process: 0, idleRevision: isNewlyUsed, since: isFollowing },
                ]);
            });
            return JSON.stringify([process, own.sort(), waitingFor?.process === at]);
        });
        return JSON.stringify([entry?.value !== undefined, changedAt > 0, encoded.sort(), { ...others, index: 0 }]);
    }

    /** The operator gives its next order, or sends the one that is not confirmed to another process. */
    private listSends(state: OperatorOrdersState): Transition<OperatorOrdersState>[] {
        const isConfirmed = state.confirmed === state.sent;
        const order = isConfirmed ? state.sent + 1 : state.sent;
        const canSend = isConfirmed ? order <= this.options.orders : state.waitingUnits >= CALLER_UNITS;
        if (!canSend || state.sendsLeft === 0) {
            return state.waitingUnits >= CALLER_UNITS ? [{ name: "give up", apply: () => endOrders(state) }] : [];
        }
        return state.processes.flatMap((_, process) => {
            if (process === state.waitingFor?.process) {
                return [];
            }
            return [Place.Socket, Place.Network].map(place => ({
                name: `order ${order} is sent to ${process}${place === Place.Network ? ", and held up" : ""}`,
                apply: () => send(state, order, process, place),
            }));
        });
    }

    private listFreezes(state: OperatorOrdersState): Transition<OperatorOrdersState>[] {
        return state.processes.flatMap((process, at) => {
            if (process.isFrozen) {
                const awake = { isFrozen: false, frozenUnits: 0 };
                return [{ name: `process ${at} wakes`, apply: () => startProcess(state, at, awake) }];
            }
            const frozen = { isFrozen: true, frozenUnits: 0 };
            return state.freezesLeft === 0 ? [] : [{
                name: `process ${at} freezes`,
                apply: () => ({ ...setProcess(state, at, frozen), freezesLeft: state.freezesLeft - 1 }),
            }];
        });
    }

    private listMoves(state: OperatorOrdersState, copy: Copy, at: number): Transition<OperatorOrdersState>[] {
        const label = `order ${copy.order} at ${copy.process}`;
        if (copy.place === Place.Network) {
            const apply = () => setCopy(state, at, { ...copy, place: Place.Socket, waitedUnits: 0 });
            return [{ name: `${label} arrives`, apply }];
        }
        if (copy.place === Place.Link) {
            return [{ name: `${label} reaches the leader`, apply: () => this.applyCopy(state, copy, at) }];
        }
        if (state.processes[copy.process].isFrozen) {
            return [];
        }
        return copy.place === Place.Socket
            ? [{ name: `${label} is read`, apply: () => this.read(state, copy, at) }]
            : [{ name: `${label} is sent on`, apply: () => this.sendOn(state, copy, at) }];
    }

    private buildOrder(state: OperatorOrdersState, copy: Copy): OperatorOrder {
        const { disabledGuard } = this.options;
        return new OperatorOrder({
            waitedMs: disabledGuard === "orderAge" ? 0 : copy.waitedUnits * UNIT_MS,
            idleMs: disabledGuard === "orderIdle" ? 0 : copy.idleUnits * UNIT_MS,
            idleRevision: copy.idleRevision,
            revision: state.control.configuration.revision,
            isOpen: () => true,
        });
    }

    private read(state: OperatorOrdersState, copy: Copy, at: number): OperatorOrdersState {
        const { since } = this.buildOrder(state, copy);
        return setCopy(state, at, { ...copy, place: Place.Process, since });
    }

    private sendOn(state: OperatorOrdersState, copy: Copy, at: number): OperatorOrdersState {
        const canSend = this.buildOrder(state, copy).getTimeLeftMs() > 0;
        const isLate = canSend && !copy.wasHeldUp && copy.idleUnits >= CALLER_UNITS;
        return {
            ...setCopy(state, at, canSend ? { ...copy, place: Place.Link } : undefined),
            fault: isLate ? `order ${copy.order} was sent on after ${copy.idleUnits} units` : undefined,
        };
    }

    private applyCopy(state: OperatorOrdersState, copy: Copy, at: number): OperatorOrdersState {
        const command: DrainCommand = {
            kind: isEvacuation(copy.order) ? "drain" : "undrain",
            operator: "o",
            target: DrainKind.DataCentre,
            name: ZONE,
            at: AT,
            since: copy.since,
        };
        const index = state.index + 1;
        const { disabledGuard } = this.options;
        const { state: control, result } = applyCommand(state.control, command, { index, term: 1, disabledGuard });
        const isRunning = !state.processes[copy.process].isFrozen;
        if (result.kind === "refused") {
            const mustRepeat = isRunning && this.buildOrder(state, copy).isAwaited();
            const since = state.control.configuration.revision;
            return setCopy(state, at, mustRepeat ? { ...copy, place: Place.Process, since } : undefined);
        }
        const next = { ...setCopy(state, at, undefined), control, index };
        const isConfirmed = isRunning && state.waitingFor?.id === copy.id;
        return isConfirmed ? { ...next, confirmed: copy.order, waitingFor: undefined, waitingUnits: 0 } : next;
    }
}

function isEvacuation(order: number): boolean {
    return order % 2 === 1;
}

function describeUndoneOrder({ control, sent, confirmed }: OperatorOrdersState): string | undefined {
    const isEvacuated = isDataCentreEvacuated(control.configuration, ZONE);
    return confirmed === 0 || confirmed !== sent || isEvacuated === isEvacuation(confirmed)
        ? undefined
        : `order ${confirmed} was confirmed last, and the data centre is ${isEvacuated ? "" : "not "}evacuated`;
}

function send(state: OperatorOrdersState, order: number, process: number, place: PlaceValue): OperatorOrdersState {
    const idleRevision = state.control.configuration.revision;
    const id = state.sendsLeft;
    const copy: Copy = {
        id,
        order,
        process,
        place,
        idleUnits: 0,
        idleRevision,
        waitedUnits: 0,
        since: 0,
        wasHeldUp: place === Place.Network,
    };
    return {
        ...state,
        copies: [...state.copies, copy],
        sent: order,
        waitingFor: { id, process },
        waitingUnits: 0,
        sendsLeft: state.sendsLeft - 1,
    };
}

/** Nothing more is sent; what is on its way may still arrive. */
function endOrders(state: OperatorOrdersState): OperatorOrdersState {
    return { ...state, waitingFor: undefined, waitingUnits: 0, sendsLeft: 0 };
}

function setProcess(state: OperatorOrdersState, at: number, process: Process): OperatorOrdersState {
    return { ...state, processes: state.processes.map((item, other) => other === at ? process : item) };
}

/** What has waited in the sockets of a process may have done so for as long as the process was frozen. */
function startProcess(state: OperatorOrdersState, at: number, process: Process): OperatorOrdersState {
    const { frozenUnits } = state.processes[at];
    const copies = state.copies.map(copy =>
        copy.process === at && copy.place === Place.Socket ? { ...copy, waitedUnits: frozenUnits } : copy
    );
    return setProcess({ ...state, copies }, at, process);
}

function setCopy(state: OperatorOrdersState, at: number, copy: Copy | undefined): OperatorOrdersState {
    const copies = state.copies.flatMap((item, other) => other !== at ? [item] : copy === undefined ? [] : [copy]);
    return { ...state, copies };
}

function passTime(state: OperatorOrdersState): OperatorOrdersState {
    const add = (units: number) => Math.min(HORIZON_UNITS, units + 1);
    return {
        ...state,
        waitingUnits: state.waitingFor === undefined ? 0 : add(state.waitingUnits),
        processes: state.processes.map(process =>
            process.isFrozen ? { ...process, frozenUnits: add(process.frozenUnits) } : process
        ),
        copies: state.copies.map(copy => ({
            ...copy,
            idleUnits: add(copy.idleUnits),
            waitedUnits: copy.place === Place.Process || copy.place === Place.Link
                ? add(copy.waitedUnits)
                : copy.waitedUnits,
        })),
    };
}
