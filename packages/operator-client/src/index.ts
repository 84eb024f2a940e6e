/** Typed client of an entry's operator API. */
export { type ConfigurationView, OperatorClient, OperatorClientError } from "./operatorClient.js";
