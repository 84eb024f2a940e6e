/** When a reader's configuration may be trusted. */
export {
    computeConfigurationLeaseEnd,
    type ConfigurationLeaseInput,
    recordRevisionReport,
    type RevisionReport,
} from "./configurationLease.js";
