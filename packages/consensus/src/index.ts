/** Replicated log in the style of Raft: pure transition functions, and a runtime with clock, disk and network. */
export { ConsensusError, UnknownOutcomeError } from "./errors.js";
export { canServeRead, computeLeaseEnd } from "./lease.js";
export { getEntries, getLastIndex, getTermAt } from "./log.js";
export {
    ConsensusRuntime,
    type ConsensusRuntimeOptions,
    type ConsensusTransport,
    type StateMachine,
} from "./runtime.js";
export {
    type ConsensusEffect,
    type ConsensusEvent,
    type ConsensusMessage,
    type ConsensusOptions,
    type ConsensusState,
    DEFAULT_CONSENSUS_OPTIONS,
    type PeerProgress,
    Role,
    type RoleValue,
} from "./state.js";
export { createConsensusState, findNewestIndex, stepConsensus } from "./step.js";
