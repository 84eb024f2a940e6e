import { applyCommand, type ControlState, createControlState } from "@kumquathall/control-state";
import { AttemptOutcome, decideRetry } from "@kumquathall/retries";
import type { Command, LedgerResult } from "@kumquathall/types";
import { type Invariant, Specification, type Transition } from "../explore.js";

const AT = "2026-01-01T00:00:00.000Z";
const KEY = "i/s/account/key";
const VMS = ["a", "b"];

/** One attempt of an agent to run the request. */
interface AttemptModel {
    vm: string;
    incarnation: number;
    /**
     * `pending`: waits for the ledger; `won`: may run; `ran`: has run; `answered`: ended without a run of its own;
     * `dead`: the agent crashed.
     */
    phase: "pending" | "won" | "ran" | "answered" | "dead";
}

export interface LedgerModelState {
    control: ControlState;
    index: number;
    incarnations: Readonly<Record<string, number>>;
    attempts: readonly AttemptModel[];
    /** Commands in flight to control; each may be duplicated. */
    commands: readonly Command[];
    /** Answers of the ledger in flight to the attempts. */
    answers: readonly { attempt: number; ledger: LedgerResult }[];
    runs: number;
    /** The caller's newest result is that its request was not run, and it has not sent the request again. */
    isReportedNotRun: boolean;
    /** Attempts that were reported as not run. */
    notRun: readonly number[];
    sendsLeft: number;
    crashesLeft: number;
    duplicatesLeft: number;
}

export interface LedgerModelOptions {
    name: string;
    disabledGuard?: string;
    sends: number;
    crashes: number;
    duplicates: number;
}

/** One key, two agents, a caller that resends, agent crashes, duplicated and late messages. */
export class LedgerSpecification extends Specification<LedgerModelState> {
    override readonly name: string;
    override readonly bounds: string;
    override readonly invariants: Invariant<LedgerModelState>[] = [
        {
            name: "a request runs at most once, however often it is sent",
            check: state => state.runs > 1 ? `it ran ${state.runs} times` : undefined,
        },
        { name: "a request that was reported as not run did not run", check: state => describeFalseRefusal(state) },
    ];

    constructor(private readonly options: LedgerModelOptions) {
        super();
        this.name = options.name;
        this.bounds =
            `one key, two agents, ${options.sends} sends, ${options.crashes} agent crashes, ${options.duplicates} duplicates`;
    }

    override create(): LedgerModelState {
        let control = createControlState();
        for (const [at, vm] of VMS.entries()) {
            control = applyCommand(control, buildRegistration(vm, 1), { index: at + 1, term: 1 }).state;
        }
        const { sends, crashes, duplicates } = this.options;
        return {
            control,
            index: VMS.length,
            incarnations: { a: 1, b: 1 },
            attempts: [],
            commands: [],
            answers: [],
            runs: 0,
            isReportedNotRun: false,
            notRun: [],
            sendsLeft: sends,
            crashesLeft: crashes,
            duplicatesLeft: duplicates,
        };
    }

    override listTransitions(state: LedgerModelState): Transition<LedgerModelState>[] {
        const transitions: Transition<LedgerModelState>[] = [];
        for (const vm of VMS) {
            if (state.sendsLeft > 0) {
                transitions.push({ name: `the caller's request reaches ${vm}`, apply: () => this.send(state, vm) });
            }
            if (state.crashesLeft > 0) {
                transitions.push({ name: `agent ${vm} crashes and restarts`, apply: () => this.crash(state, vm) });
            }
        }
        for (const [at, command] of state.commands.entries()) {
            transitions.push({ name: `control receives ${command.kind}`, apply: () => this.apply(state, at, false) });
            if (state.duplicatesLeft > 0) {
                transitions.push({
                    name: `control receives ${command.kind}, which is duplicated`,
                    apply: () => this.apply(state, at, true),
                });
            }
        }
        for (const [at, answer] of state.answers.entries()) {
            transitions.push({
                name: `attempt ${answer.attempt} receives ${answer.ledger.state}`,
                apply: () => this.receiveAnswer(state, at),
            });
        }
        for (const [at, attempt] of state.attempts.entries()) {
            if (attempt.phase === "won") {
                transitions.push({ name: `attempt ${at} runs`, apply: () => this.run(state, at) });
                transitions.push({ name: `attempt ${at} finds the engine down`, apply: () => this.abandon(state, at) });
            }
        }
        return transitions;
    }

    override encode(state: LedgerModelState): string {
        const { control, ...rest } = state;
        return JSON.stringify([[...control.ledger], [...control.configuration.entries], { ...rest, index: 0 }]);
    }

    private send(state: LedgerModelState, vm: string): LedgerModelState {
        const attempt: AttemptModel = { vm, incarnation: state.incarnations[vm], phase: "pending" };
        const attempts = [...state.attempts, attempt];
        const command: Command = {
            kind: "ledgerBegin",
            key: KEY,
            digest: "d",
            vm,
            incarnation: String(attempt.incarnation),
            attempt: String(attempts.length - 1),
            at: AT,
        };
        return {
            ...state,
            attempts,
            commands: [...state.commands, command],
            sendsLeft: state.sendsLeft - 1,
            isReportedNotRun: false,
        };
    }

    private apply(state: LedgerModelState, at: number, isDuplicated: boolean): LedgerModelState {
        const command = state.commands[at];
        const index = state.index + 1;
        const applied = applyCommand(state.control, command, {
            index,
            term: 1,
            disabledGuard: this.options.disabledGuard,
        });
        const commands = isDuplicated ? state.commands : state.commands.filter((_, other) => other !== at);
        const next = {
            ...state,
            control: applied.state,
            index,
            commands,
            duplicatesLeft: state.duplicatesLeft - (isDuplicated ? 1 : 0),
        };
        if (applied.result.kind !== "ledger" || command.kind !== "ledgerBegin") {
            return next;
        }
        return {
            ...next,
            answers: [...next.answers, { attempt: Number(command.attempt), ledger: applied.result.ledger }],
        };
    }

    private receiveAnswer(state: LedgerModelState, at: number): LedgerModelState {
        const answer = state.answers[at];
        const next = { ...state, answers: state.answers.filter((_, other) => other !== at) };
        const attempt = state.attempts[answer.attempt];
        if (attempt.phase !== "pending") {
            return next;
        }
        return setPhase(next, answer.attempt, answer.ledger.state === "won" ? "won" : "answered");
    }

    private run(state: LedgerModelState, at: number): LedgerModelState {
        const command: Command = {
            kind: "ledgerAnswer",
            key: KEY,
            attempt: String(at),
            answer: { status: 200, headers: [], body: undefined },
            at: AT,
        };
        return { ...setPhase(state, at, "ran"), runs: state.runs + 1, commands: [...state.commands, command] };
    }

    /** The engine could not be reached: the agent releases the key and reports the request as not run. */
    private abandon(state: LedgerModelState, at: number): LedgerModelState {
        const command: Command = { kind: "ledgerAbandon", key: KEY, attempt: String(at), at: AT };
        const retry = decideRetry({
            outcome: AttemptOutcome.NotStarted,
            isRepeatable: false,
            attempts: 1,
            remainingMs: 1000,
            hasOtherEndpoint: false,
            takeRetry: () => true,
            random: () => 0,
        });
        const isReported = retry.kind === "stop";
        return {
            ...setPhase(state, at, "answered"),
            commands: [...state.commands, command],
            isReportedNotRun: isReported,
            notRun: [...state.notRun, at],
        };
    }

    private crash(state: LedgerModelState, vm: string): LedgerModelState {
        const incarnation = state.incarnations[vm] + 1;
        const attempts = state.attempts.map(attempt =>
            attempt.vm === vm && attempt.phase !== "answered" ? { ...attempt, phase: "dead" as const } : attempt
        );
        const index = state.index + 1;
        const control = applyCommand(state.control, buildRegistration(vm, incarnation), { index, term: 1 }).state;
        return {
            ...state,
            control,
            index,
            attempts,
            incarnations: { ...state.incarnations, [vm]: incarnation },
            crashesLeft: state.crashesLeft - 1,
        };
    }
}

function setPhase(state: LedgerModelState, at: number, phase: AttemptModel["phase"]): LedgerModelState {
    return {
        ...state,
        attempts: state.attempts.map((attempt, other) => other === at ? { ...attempt, phase } : attempt),
    };
}

function buildRegistration(vm: string, incarnation: number): Command {
    return {
        kind: "registerVm",
        vm,
        incarnation: String(incarnation),
        attributes: {
            dataCentre: "x",
            fabricDomain: "x",
            accelerators: 0,
            kind: "plain",
            fencing: "ignored",
            service: "i/s",
            address: "",
        },
        at: AT,
    };
}

function describeFalseRefusal(state: LedgerModelState): string | undefined {
    const isRun = state.notRun.some(at => state.attempts[at].phase === "ran");
    return isRun ? "an attempt that was reported as not run has run" : undefined;
}
