import { KumquathallError } from "@kumquathall/errors";
import { type ExploreOptions, type ExploreResult, exploreStates, type Specification } from "./explore.js";
import { ConfigurationLeaseSpecification } from "./specifications/configurationLease.js";
import { ConsensusSpecification } from "./specifications/consensus.js";
import { GroupsSpecification } from "./specifications/groups.js";
import { LedgerSpecification } from "./specifications/ledger.js";
import { MembershipSpecification } from "./specifications/membership.js";
import { OperatorOrdersSpecification } from "./specifications/operatorOrders.js";
import { PublishSpecification } from "./specifications/publish.js";

/** One exploration, of a specification with all guards or of a mutant in which it must find a violation. */
export interface ModelCheck {
    name: string;
    bounds: string;
    /** Guard that is disabled; `undefined` if none is. */
    mutant: string | undefined;
    run: () => ExploreResult;
}

const EMPTY_LOG = { term: 0, entryTerms: [] };
const EMPTY_LOGS = { a: EMPTY_LOG, b: EMPTY_LOG, c: EMPTY_LOG };
/** Budgets of a specification without crashes, duplicates, proposals and clock lag. */
const ZERO_BUDGETS = { crashes: 0, duplicates: 0, proposals: 0, lag: 0 };
/** Length of an election timeout, in units of model time. */
const ELECTION_UNITS = 4;

function buildElection(disabledGuard?: string): Specification<unknown> {
    return new ConsensusSpecification({
        ...ZERO_BUDGETS,
        name: "consensus: election",
        disabledGuard,
        maxTerm: 2,
        maxInFlightMessages: 4,
        timeStep: ELECTION_UNITS,
        start: {
            a: { term: 1, votedFor: "a", entryTerms: [1] },
            b: { term: 1, votedFor: "a", entryTerms: [1] },
            c: { term: 1, entryTerms: [] },
        },
    }) as Specification<unknown>;
}

function buildVoterCrash(disabledGuard?: string): Specification<unknown> {
    return new ConsensusSpecification({
        ...ZERO_BUDGETS,
        name: "consensus: an elector crashes",
        disabledGuard,
        crashes: 1,
        maxTerm: 2,
        maxInFlightMessages: 3,
        timeStep: ELECTION_UNITS,
        links: ["ab", "bc"],
        start: { a: { term: 1, entryTerms: [1] }, b: { term: 1, entryTerms: [1] }, c: { term: 1, entryTerms: [1] } },
    }) as Specification<unknown>;
}

function buildLaggingMember(disabledGuard?: string): Specification<unknown> {
    return new ConsensusSpecification({
        ...ZERO_BUDGETS,
        name: "consensus: a member lacks what is committed",
        disabledGuard,
        crashes: 1,
        duplicates: 1,
        proposals: 1,
        maxTerm: 3,
        maxInFlightMessages: 3,
        timeStep: ELECTION_UNITS,
        links: ["bc"],
        start: EMPTY_LOGS,
        initialLeader: "a",
        initialLinks: ["ab"],
    }) as Specification<unknown>;
}

function buildLeaderPartition(disabledGuard?: string): Specification<unknown> {
    return new ConsensusSpecification({
        ...ZERO_BUDGETS,
        name: "consensus: the leader and its rival are cut from each other",
        disabledGuard,
        lag: 1,
        maxTerm: 2,
        maxInFlightMessages: 2,
        timeStep: 1,
        links: ["ac", "bc"],
        start: EMPTY_LOGS,
        initialLeader: "a",
    }) as Specification<unknown>;
}

function buildVoterRestart(disabledGuard?: string): Specification<unknown> {
    return new ConsensusSpecification({
        ...ZERO_BUDGETS,
        name: "consensus: the one that both leader and rival hear restarts",
        disabledGuard,
        crashes: 1,
        maxTerm: 2,
        maxInFlightMessages: 2,
        timeStep: 2,
        links: ["ac", "bc"],
        start: EMPTY_LOGS,
        initialLeader: "a",
    }) as Specification<unknown>;
}

function buildDivergedLogs(disabledGuard?: string): Specification<unknown> {
    return new ConsensusSpecification({
        ...ZERO_BUDGETS,
        name: "consensus: logs that differ",
        disabledGuard,
        maxTerm: 4,
        maxInFlightMessages: 3,
        timeStep: ELECTION_UNITS,
        links: ["ac", "bc"],
        // a led term 1 and replicated nothing; b led term 2, replicated nothing,
        // and started an election for term 3 that reached no other member.
        start: {
            a: { term: 2, entryTerms: [1] },
            b: { term: 3, votedFor: "b", entryTerms: [2] },
            c: { term: 2, votedFor: "b", entryTerms: [] },
        },
    }) as Specification<unknown>;
}

function buildMemberReplacement(disabledGuard?: string): Specification<unknown> {
    return new ConsensusSpecification({
        ...ZERO_BUDGETS,
        name: "consensus: a disk is lost, its member is replaced by a newcomer",
        disabledGuard,
        crashes: 1,
        proposals: 1,
        maxTerm: 2,
        maxInFlightMessages: 2,
        timeStep: ELECTION_UNITS,
        // c has lost its disk permanently: it is cut off from all others, and d replaces it.
        links: ["ab", "ad", "bd"],
        founders: ["a", "b", "c"],
        memberChanges: [["a", "b"], ["a", "b", "d"]],
        start: { ...EMPTY_LOGS, d: EMPTY_LOG },
        initialLeader: "a",
        initialLinks: ["ab", "ac"],
    }) as Specification<unknown>;
}

function buildTwoMemberChanges(disabledGuard?: string): Specification<unknown> {
    return new ConsensusSpecification({
        ...ZERO_BUDGETS,
        name: "consensus: the leader and newcomers are cut from the other founders",
        disabledGuard,
        maxTerm: 2,
        maxInFlightMessages: 2,
        timeStep: ELECTION_UNITS,
        links: ["ad", "ae", "bc"],
        founders: ["a", "b", "c"],
        memberChanges: [["a", "b", "c", "d"], ["a", "b", "c", "d", "e"]],
        start: { ...EMPTY_LOGS, d: EMPTY_LOG, e: EMPTY_LOG },
        initialLeader: "a",
        initialLinks: ["ab", "ac"],
    }) as Specification<unknown>;
}

function buildGroupRepair(disabledGuard?: string): Specification<unknown> {
    return new GroupsSpecification({
        name: "replica groups: loss and repair",
        disabledGuard,
        crashes: 1,
        losses: 1,
        formations: 1,
        duplicates: 1,
        domains: { v1: "d", v2: "d", v3: "d" },
        isServingAtStart: true,
    }) as Specification<unknown>;
}

function buildGroupFormation(disabledGuard?: string): Specification<unknown> {
    return new GroupsSpecification({
        name: "replica groups: forming",
        disabledGuard,
        crashes: 1,
        losses: 0,
        formations: 2,
        duplicates: 0,
        domains: { v1: "d", v2: "d", v3: "e" },
        isServingAtStart: false,
    }) as Specification<unknown>;
}

function buildMembership(disabledGuard?: string): Specification<unknown> {
    return new MembershipSpecification({
        name: "control members: losses and replacement",
        disabledGuard,
        joiners: 2,
        hanging: 1,
        losses: 3,
        commands: 1,
    }) as Specification<unknown>;
}

function buildLedger(disabledGuard?: string): Specification<unknown> {
    return new LedgerSpecification({
        name: "at-most-once ledger",
        disabledGuard,
        sends: 3,
        crashes: 1,
        duplicates: 0,
    }) as Specification<unknown>;
}

function buildConfigurationLease(disabledGuard?: string): Specification<unknown> {
    return new ConfigurationLeaseSpecification({
        name: "configuration lease",
        disabledGuard,
        changes: 1,
        requests: 3,
    }) as Specification<unknown>;
}

function buildPublish(disabledGuard?: string): Specification<unknown> {
    return new PublishSpecification({ name: "publish", disabledGuard, sends: 3, duplicates: 2 }) as Specification<
        unknown
    >;
}

function buildOperatorOrders(disabledGuard?: string): Specification<unknown> {
    return new OperatorOrdersSpecification({
        name: "orders of an operator",
        disabledGuard,
        processes: 2,
        orders: 3,
        sends: 4,
        freezes: 1,
    }) as Specification<unknown>;
}

interface Exploration {
    build: (disabledGuard?: string) => Specification<unknown>;
    options: ExploreOptions;
    mutants: string[];
}

/** Specifications and the bounds of exploration, which is exhaustive to its depth unless it reaches `maxStates`. */
const EXPLORATIONS: Exploration[] = [
    {
        build: buildElection,
        options: { maxDepth: 12, maxStates: 300_000 },
        mutants: ["oneVotePerTerm", "majorityOfVotes"],
    },
    { build: buildVoterCrash, options: { maxDepth: 14, maxStates: 300_000 }, mutants: ["syncBeforeAnswer"] },
    {
        build: buildLaggingMember,
        options: { maxDepth: 11, maxStates: 300_000 },
        mutants: ["voteForCurrentLog", "majorityOfCopies"],
    },
    { build: buildLeaderPartition, options: { maxDepth: 16, maxStates: 300_000 }, mutants: ["voteDuringLease"] },
    { build: buildVoterRestart, options: { maxDepth: 15, maxStates: 300_000 }, mutants: ["noVoteAfterRestart"] },
    {
        build: buildDivergedLogs,
        options: { maxDepth: 16, maxStates: 300_000 },
        mutants: ["commitOwnTerm", "appendAfterMatch"],
    },
    { build: buildMemberReplacement, options: { maxDepth: 12, maxStates: 200_000 }, mutants: [] },
    { build: buildTwoMemberChanges, options: { maxDepth: 16, maxStates: 300_000 }, mutants: ["oneMemberChange"] },
    {
        build: buildMembership,
        options: { maxDepth: 30, maxStates: 1_500_000 },
        mutants: ["addOnlyCopies", "silenceFromSending"],
    },
    {
        build: buildGroupRepair,
        options: { maxDepth: 9, maxStates: 400_000 },
        mutants: [
            "assignOnlyFree",
            "freeOnlyAfterConfirm",
            "confirmOwnIncarnation",
            "confirmNewestNumber",
            "allMemberLeases",
            "waitOutGrants",
            "grantsOfPredecessor",
        ],
    },
    {
        build: buildGroupFormation,
        options: { maxDepth: 10, maxStates: 400_000 },
        mutants: ["oneFabricDomain", "serveOnlyWhole"],
    },
    { build: buildLedger, options: { maxDepth: 14, maxStates: 400_000 }, mutants: ["ledgerFirstBegin"] },
    {
        build: buildConfigurationLease,
        options: { maxDepth: 14, maxStates: 400_000 },
        mutants: ["majorityOfVouches", "vouchNotNewer"],
    },
    {
        build: buildPublish,
        options: { maxDepth: 20, maxStates: 400_000 },
        mutants: ["publishCompareAndSet", "changeIdAnswer"],
    },
    {
        build: buildOperatorOrders,
        options: { maxDepth: 60, maxStates: 600_000 },
        mutants: ["orderSince", "orderAge", "orderIdle"],
    },
];

/** Lists all checks: each specification with all guards, then with each of its guards disabled. */
export function listChecks(): ModelCheck[] {
    return EXPLORATIONS.flatMap(exploration =>
        [undefined, ...exploration.mutants].map(mutant => assembleCheck(exploration, mutant, exploration.options))
    );
}

/** Builds one check by name, with another bound on states if one is given. Throws if the name or guard is unknown. */
export function buildCheck(name: string, mutant: string | undefined, maxStates: number | undefined): ModelCheck {
    const exploration = EXPLORATIONS.find(item =>
        item.build().name === name && (mutant === undefined || item.mutants.includes(mutant))
    );
    if (exploration === undefined) {
        throw new KumquathallError(`no specification "${name}" with the guard "${mutant}"`);
    }
    return assembleCheck(exploration, mutant, {
        ...exploration.options,
        maxStates: maxStates ?? exploration.options.maxStates,
    });
}

function assembleCheck(exploration: Exploration, mutant: string | undefined, options: ExploreOptions): ModelCheck {
    const specification = exploration.build(mutant);
    return {
        name: specification.name,
        bounds: specification.bounds,
        mutant,
        run: () => exploreStates(specification, options),
    };
}
