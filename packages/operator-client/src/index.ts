/** The operators' interface of an entry, as typed calls. */
export { type ConfigurationView, OperatorClient, OperatorClientError } from "./operatorClient.js";
