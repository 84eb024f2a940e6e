import {
    computeConfigurationLeaseEnd,
    recordRevisionReport,
    type RevisionReport,
} from "@kumquathall/configuration-lease";
import { type Invariant, type Move, Specification } from "../explore.js";

const UNIT_MS = 1000;
const LEASE_MS = 2000;
const MEMBERS = ["a", "b", "c"];
const HORIZON_MS = 4000;

interface Question {
    member: string;
    sentAt: number;
    /** Set once the member has answered; the answer may still be under way. */
    accepted: number | undefined;
}

export interface LeaseModelState {
    now: number;
    /** Newest change in each member's log, committed or not. */
    accepted: Readonly<Record<string, number>>;
    /** When each change was in a majority's logs, by revision. */
    committedAt: Readonly<Record<number, number>>;
    reader: { revision: number; vouches: readonly RevisionReport[] };
    questions: readonly Question[];
    changesLeft: number;
    questionsLeft: number;
}

export interface LeaseModelOptions {
    name: string;
    disabledGuard?: string;
    changes: number;
    questions: number;
}

/** Three members that accept changes one by one, and a reader that asks them, without any leader in the picture. */
export class ConfigurationLeaseSpecification extends Specification<LeaseModelState> {
    override readonly name: string;
    override readonly bounds: string;
    override readonly invariants: Invariant<LeaseModelState>[] = [
        {
            name: "a configuration in force is nowhere ignored after the lease",
            check: state => this.describeStaleReader(state),
        },
    ];

    constructor(private readonly options: LeaseModelOptions) {
        super();
        this.name = options.name;
        this.bounds =
            `3 members, 1 reader, ${options.changes} changes, ${options.questions} questions, late answers, no leader needed`;
    }

    override create(): LeaseModelState {
        return {
            now: 0,
            accepted: { a: 0, b: 0, c: 0 },
            committedAt: {},
            reader: { revision: 0, vouches: [] },
            questions: [],
            changesLeft: this.options.changes,
            questionsLeft: this.options.questions,
        };
    }

    override listMoves(state: LeaseModelState): Move<LeaseModelState>[] {
        const moves: Move<LeaseModelState>[] = [{
            name: "time passes",
            apply: () => ({ ...state, now: state.now + UNIT_MS }),
        }];
        const newest = Math.max(...Object.values(state.accepted));
        for (const member of MEMBERS) {
            // A leader puts a new change in its own log first; it has all committed ones, and others copy from it in order.
            if (state.changesLeft > 0 && state.accepted[member] === newest) {
                moves.push({
                    name: `${member} appends a change`,
                    apply: () => accept({ ...state, changesLeft: state.changesLeft - 1 }, member, newest + 1),
                });
            }
            if (state.accepted[member] < newest) {
                moves.push({ name: `${member} accepts what it lacks`, apply: () => accept(state, member, newest) });
            }
            if (state.questionsLeft > 0) {
                moves.push({ name: `the reader asks ${member}`, apply: () => ask(state, member) });
            }
        }
        for (const [at, question] of state.questions.entries()) {
            moves.push(
                question.accepted === undefined
                    ? { name: `${question.member} answers`, apply: () => answer(state, at) }
                    : { name: `the reader hears ${question.member}`, apply: () => hear(state, at) },
            );
        }
        const committed = Math.max(0, ...Object.keys(state.committedAt).map(Number));
        if (state.reader.revision < committed) {
            moves.push({
                name: "the reader gets the changes",
                apply: () => ({ ...state, reader: { ...state.reader, revision: committed } }),
            });
        }
        return moves;
    }

    override encode(state: LeaseModelState): string {
        const relate = (time: number) => Math.max(-HORIZON_MS, time - state.now);
        return JSON.stringify([
            state.accepted,
            Object.entries(state.committedAt).map(([revision, at]) => [revision, relate(at)]),
            state.reader.revision,
            state.reader.vouches.map(vouch => [vouch.member, vouch.accepted, relate(vouch.sentAt)]).sort(),
            state.questions.map(question => [question.member, question.accepted, relate(question.sentAt)]).sort(),
            state.changesLeft,
            state.questionsLeft,
        ]);
    }

    private describeStaleReader(state: LeaseModelState): string | undefined {
        const { vouches, revision } = state.reader;
        const end = computeConfigurationLeaseEnd({
            reports: vouches,
            revision,
            leaseMs: LEASE_MS,
            disabledGuard: this.options.disabledGuard,
        });
        if (state.now >= end) {
            return undefined;
        }
        for (const [changed, at] of Object.entries(state.committedAt)) {
            if (Number(changed) > revision && state.now - at >= LEASE_MS) {
                return `the reader acts on revision ${revision}, though ${changed} has been in force for ${
                    state.now - at
                } ms`;
            }
        }
        return undefined;
    }
}

function accept(state: LeaseModelState, member: string, revision: number): LeaseModelState {
    const accepted = { ...state.accepted, [member]: revision };
    const holders = Object.values(accepted).filter(value => value >= revision).length;
    const isCommitted = holders * 2 > MEMBERS.length && state.committedAt[revision] === undefined;
    return {
        ...state,
        accepted,
        committedAt: isCommitted ? { ...state.committedAt, [revision]: state.now } : state.committedAt,
    };
}

function ask(state: LeaseModelState, member: string): LeaseModelState {
    return {
        ...state,
        questions: [...state.questions, { member, sentAt: state.now, accepted: undefined }],
        questionsLeft: state.questionsLeft - 1,
    };
}

function answer(state: LeaseModelState, at: number): LeaseModelState {
    const questions = state.questions.map((question, other) =>
        other === at ? { ...question, accepted: state.accepted[question.member] } : question
    );
    return { ...state, questions };
}

function hear(state: LeaseModelState, at: number): LeaseModelState {
    const { member, sentAt, accepted } = state.questions[at];
    const vouches = recordRevisionReport(
        state.reader.vouches,
        { member, members: MEMBERS, accepted: accepted ?? 0 },
        sentAt,
    );
    return {
        ...state,
        reader: { ...state.reader, vouches },
        questions: state.questions.filter((_, other) => other !== at),
    };
}
