export * from "./attachPacer.js";
export * from "./byteBudget.js";
export * from "./byteCollector.js";
export * from "./chunkPacer.js";
export * from "./collectWithin.js";
