/** When a reader's configuration may be trusted. */
export { computeConfigurationLeaseEnd, type LeaseInput, recordVouch, type VouchRecord } from "./configurationLease.js";
