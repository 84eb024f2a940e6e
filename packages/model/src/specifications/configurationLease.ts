import {
    computeConfigurationLeaseEnd,
    recordRevisionReport,
    type RevisionReport,
} from "@kumquathall/configuration-lease";
import { type Invariant, Specification, type Transition } from "../explore.js";

const UNIT_MS = 1000;
const LEASE_MS = 2000;
const MEMBERS = ["a", "b", "c"];
/** Times further in the past than this are encoded as equal. */
const HORIZON_MS = 4000;

interface ReportRequest {
    member: string;
    sentAt: number;
    /** Newest change in the member's log when it answered; `undefined` before. The answer may still be in flight. */
    accepted: number | undefined;
}

export interface LeaseModelState {
    now: number;
    /** Revision of the newest change in each member's log, committed or not. */
    accepted: Readonly<Record<string, number>>;
    /** When each change reached a majority of the logs, by revision. */
    committedAt: Readonly<Record<number, number>>;
    reader: { revision: number; reports: readonly RevisionReport[] };
    requests: readonly ReportRequest[];
    changesLeft: number;
    requestsLeft: number;
}

export interface LeaseModelOptions {
    name: string;
    disabledGuard?: string;
    changes: number;
    requests: number;
}

/** Three members that append changes in order, and a reader that requests revision reports; no leader is needed. */
export class ConfigurationLeaseSpecification extends Specification<LeaseModelState> {
    override readonly name: string;
    override readonly bounds: string;
    override readonly invariants: Invariant<LeaseModelState>[] = [
        {
            name: "no reader acts on a configuration that was superseded at least one lease ago",
            check: state => this.describeStaleReader(state),
        },
    ];

    constructor(private readonly options: LeaseModelOptions) {
        super();
        this.name = options.name;
        this.bounds =
            `3 members, 1 reader, ${options.changes} changes, ${options.requests} report requests, late answers, no leader needed`;
    }

    override create(): LeaseModelState {
        return {
            now: 0,
            accepted: { a: 0, b: 0, c: 0 },
            committedAt: {},
            reader: { revision: 0, reports: [] },
            requests: [],
            changesLeft: this.options.changes,
            requestsLeft: this.options.requests,
        };
    }

    override listTransitions(state: LeaseModelState): Transition<LeaseModelState>[] {
        const transitions: Transition<LeaseModelState>[] = [{
            name: "time passes",
            apply: () => ({ ...state, now: state.now + UNIT_MS }),
        }];
        const newest = Math.max(...Object.values(state.accepted));
        for (const member of MEMBERS) {
            // A leader has all committed changes and appends a new one to its own log first; others copy in order.
            if (state.changesLeft > 0 && state.accepted[member] === newest) {
                transitions.push({
                    name: `${member} appends a change`,
                    apply: () => appendChange({ ...state, changesLeft: state.changesLeft - 1 }, member, newest + 1),
                });
            }
            if (state.accepted[member] < newest) {
                transitions.push({
                    name: `${member} copies the changes that it lacks`,
                    apply: () => appendChange(state, member, newest),
                });
            }
            if (state.requestsLeft > 0) {
                transitions.push({
                    name: `the reader requests a report from ${member}`,
                    apply: () => sendRequest(state, member),
                });
            }
        }
        for (const [index, request] of state.requests.entries()) {
            transitions.push(
                request.accepted === undefined
                    ? { name: `${request.member} answers`, apply: () => answerRequest(state, index) }
                    : {
                        name: `the reader receives the report of ${request.member}`,
                        apply: () => receiveReport(state, index),
                    },
            );
        }
        const committed = Math.max(0, ...Object.keys(state.committedAt).map(Number));
        if (state.reader.revision < committed) {
            transitions.push({
                name: "the reader receives the committed changes",
                apply: () => ({ ...state, reader: { ...state.reader, revision: committed } }),
            });
        }
        return transitions;
    }

    override encode(state: LeaseModelState): string {
        const toRelative = (time: number) => Math.max(-HORIZON_MS, time - state.now);
        return JSON.stringify([
            state.accepted,
            Object.entries(state.committedAt).map(([revision, at]) => [revision, toRelative(at)]),
            state.reader.revision,
            state.reader.reports.map(report => [report.member, report.accepted, toRelative(report.sentAt)]).sort(),
            state.requests.map(request => [request.member, request.accepted, toRelative(request.sentAt)]).sort(),
            state.changesLeft,
            state.requestsLeft,
        ]);
    }

    private describeStaleReader(state: LeaseModelState): string | undefined {
        const { reports, revision } = state.reader;
        const end = computeConfigurationLeaseEnd({
            reports,
            revision,
            leaseMs: LEASE_MS,
            disabledGuard: this.options.disabledGuard,
        });
        if (state.now >= end) {
            return undefined;
        }
        for (const [changed, at] of Object.entries(state.committedAt)) {
            if (Number(changed) > revision && state.now - at >= LEASE_MS) {
                return `the reader acts on revision ${revision}, though revision ${changed} was committed ${
                    state.now - at
                } ms ago`;
            }
        }
        return undefined;
    }
}

function appendChange(state: LeaseModelState, member: string, revision: number): LeaseModelState {
    const accepted = { ...state.accepted, [member]: revision };
    const holders = Object.values(accepted).filter(value => value >= revision).length;
    const isCommitted = holders * 2 > MEMBERS.length && state.committedAt[revision] === undefined;
    return {
        ...state,
        accepted,
        committedAt: isCommitted ? { ...state.committedAt, [revision]: state.now } : state.committedAt,
    };
}

function sendRequest(state: LeaseModelState, member: string): LeaseModelState {
    return {
        ...state,
        requests: [...state.requests, { member, sentAt: state.now, accepted: undefined }],
        requestsLeft: state.requestsLeft - 1,
    };
}

function answerRequest(state: LeaseModelState, index: number): LeaseModelState {
    const requests = state.requests.map((request, other) =>
        other === index ? { ...request, accepted: state.accepted[request.member] } : request
    );
    return { ...state, requests };
}

function receiveReport(state: LeaseModelState, index: number): LeaseModelState {
    const { member, sentAt, accepted } = state.requests[index];
    const reports = recordRevisionReport(
        state.reader.reports,
        { member, members: MEMBERS, accepted: accepted ?? 0 },
        sentAt,
    );
    return {
        ...state,
        reader: { ...state.reader, reports },
        requests: state.requests.filter((_, other) => other !== index),
    };
}
