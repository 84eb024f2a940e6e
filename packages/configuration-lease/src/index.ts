/** The lease under which a reader may act on its copy of the configuration. */
export {
    computeConfigurationLeaseEnd,
    type ConfigurationLeaseInput,
    recordRevisionReport,
    type RevisionReport,
} from "./configurationLease.js";
