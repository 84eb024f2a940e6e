/** Finds and validates service files. */
export {
    findServiceFiles,
    readServiceFiles,
    SERVICE_FILE_SUFFIX,
    type ServiceFile,
    ServiceFileError,
    validateServiceFile,
} from "./readServiceFiles.js";
