import { applyCommand, type ControlState, createControlState, getService } from "@kumquathall/control-state";
import type { CommandResult, PublishCommand, ServiceDefinition } from "@kumquathall/types";
import { type Invariant, Specification, type Transition } from "../explore.js";

const AT = "2026-01-01T00:00:00.000Z";
const OPERATORS = ["x", "y"];

export interface PublishModelState {
    control: ControlState;
    index: number;
    /** Commands in flight. An operator whose answer was lost sends the same change again. */
    commands: readonly PublishCommand[];
    /** Answers by change id. Every resend must get the first answer. */
    answers: Readonly<Record<string, readonly string[]>>;
    /** Contents that each version ever had in the configuration. */
    contentsByVersion: Readonly<Record<number, readonly string[]>>;
    /** Versions in the order in which they took effect. */
    versions: readonly number[];
    sendsLeft: number;
    duplicatesLeft: number;
}

export interface PublishModelOptions {
    name: string;
    disabledGuard?: string;
    sends: number;
    duplicates: number;
}

/** Two operators that publish concurrently under equal version numbers and resend changes whose answers were lost. */
export class PublishSpecification extends Specification<PublishModelState> {
    override readonly name: string;
    override readonly bounds: string;
    override readonly invariants: Invariant<PublishModelState>[] = [
        { name: "a configuration never reverts to an older one", check: state => describeReversal(state) },
        { name: "a version has one content", check: state => describeSecondContent(state) },
        { name: "a resent change gets the first answer", check: state => describeChangedAnswer(state) },
    ];

    constructor(private readonly options: PublishModelOptions) {
        super();
        this.name = options.name;
        this.bounds =
            `2 operators, versions 1 to 3, ${options.sends} changes, ${options.duplicates} resends, any order`;
    }

    override create(): PublishModelState {
        const { sends, duplicates } = this.options;
        return {
            control: createControlState(),
            index: 0,
            commands: [],
            answers: {},
            contentsByVersion: {},
            versions: [],
            sendsLeft: sends,
            duplicatesLeft: duplicates,
        };
    }

    override listTransitions(state: PublishModelState): Transition<PublishModelState>[] {
        const transitions: Transition<PublishModelState>[] = [];
        const current = getService(state.control.configuration, "i", "s");
        for (const operator of OPERATORS) {
            for (let version = 1; version <= 3 && state.sendsLeft > 0; version++) {
                transitions.push({
                    name: `operator ${operator} sends version ${version}`,
                    apply: () => send(state, operator, version, current?.version ?? 0),
                });
            }
        }
        for (const [at, command] of state.commands.entries()) {
            const name = `control receives version ${command.definition.version} of ${command.operator}`;
            transitions.push({ name, apply: () => this.apply(state, at, false) });
            if (state.duplicatesLeft > 0) {
                transitions.push({ name: `${name}, which is resent`, apply: () => this.apply(state, at, true) });
            }
        }
        return transitions;
    }

    override encode(state: PublishModelState): string {
        const { control, ...rest } = state;
        return JSON.stringify([
            [...control.configuration.entries].map(([key, entry]) => [key, entry.value]),
            [...control.changes.keys()].sort(),
            rest,
        ]);
    }

    private apply(state: PublishModelState, at: number, isResent: boolean): PublishModelState {
        const command = state.commands[at];
        const index = state.index + 1;
        const { state: control, result } = applyCommand(state.control, command, {
            index,
            term: 1,
            disabledGuard: this.options.disabledGuard,
        });
        const commands = isResent ? state.commands : state.commands.filter((_, other) => other !== at);
        const answers = {
            ...state.answers,
            [command.changeId]: [...state.answers[command.changeId] ?? [], formatResult(result)],
        };
        const current = getService(control.configuration, "i", "s");
        const isChanged = current !== getService(state.control.configuration, "i", "s") && current !== undefined;
        return {
            ...state,
            control,
            index,
            commands,
            answers,
            contentsByVersion: isChanged ? addContent(state.contentsByVersion, current) : state.contentsByVersion,
            versions: isChanged ? [...state.versions, current.version] : state.versions,
            duplicatesLeft: state.duplicatesLeft - (isResent ? 1 : 0),
        };
    }
}

function send(state: PublishModelState, operator: string, version: number, baseVersion: number): PublishModelState {
    const definition: ServiceDefinition = {
        institution: "i",
        service: "s",
        version,
        kind: "plain",
        models: [],
        replicaGroup: { vms: 1, acceleratorsPerVm: 0 },
        capacity: { groups: 0, concurrentRequests: operator === "x" ? 1 : 2, requestsPerSecond: 1 },
        objective: { groupDowntime: 1, strandedAccelerators: 1 },
        deadlineMs: 1000,
        accounts: [],
        requests: [],
    };
    const changeId = `${operator}${state.sendsLeft}`;
    const command: PublishCommand = { kind: "publish", changeId, operator, at: AT, baseVersion, definition };
    return { ...state, commands: [...state.commands, command], sendsLeft: state.sendsLeft - 1 };
}

function formatResult(result: CommandResult): string {
    return result.kind === "refused" ? `refused ${result.message}` : JSON.stringify(result);
}

function addContent(
    contentsByVersion: PublishModelState["contentsByVersion"],
    current: ServiceDefinition,
): PublishModelState["contentsByVersion"] {
    const content = String(current.capacity.concurrentRequests);
    const contents = contentsByVersion[current.version] ?? [];
    return contents.includes(content)
        ? contentsByVersion
        : { ...contentsByVersion, [current.version]: [...contents, content] };
}

function describeReversal(state: PublishModelState): string | undefined {
    for (let at = 1; at < state.versions.length; at++) {
        if (state.versions[at] < state.versions[at - 1]) {
            return `version ${state.versions[at]} came after version ${state.versions[at - 1]}`;
        }
    }
    return undefined;
}

function describeSecondContent(state: PublishModelState): string | undefined {
    const conflicting = Object.entries(state.contentsByVersion).find(([, contents]) => contents.length > 1);
    return conflicting === undefined ? undefined : `version ${conflicting[0]} had two contents`;
}

function describeChangedAnswer(state: PublishModelState): string | undefined {
    const differing = Object.entries(state.answers).find(([, answers]) => new Set(answers).size > 1);
    return differing === undefined
        ? undefined
        : `change ${differing[0]} was answered ${differing[1].join(" and then ")}`;
}
