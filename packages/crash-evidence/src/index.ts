/** Finds what ends endpoints: merges reports of what ran at each crash and decides what to quarantine. */
export { CrashEvidence, type CrashEvidenceOptions, type QuarantineVerdict } from "./crashEvidence.js";
export { formatSubjectKey, listPromptParts, listSubjects, type Subject } from "./subject.js";
