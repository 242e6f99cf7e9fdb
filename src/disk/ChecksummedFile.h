#pragma once

#include "base/Result.h"
#include "disk/FileOperations.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace bergamotweir::disk {

/** @return a finding with the file, the offset, the failed operation and the text of the errno */
Findings ioFinding(const std::filesystem::path &file, std::uint64_t offset, const std::string &what, int error);

/** @return all bytes of a file, or a finding if it cannot be read */
Result<std::string> readFile(const std::filesystem::path &file);

/**
 * Atomically replaces a file: writes and syncs a temporary file with a checksum, renames it and syncs the folder.
 * After a crash the file has either the old content or the new one, never a mix.
 * @return no findings on success
 */
Findings writeChecksummedFile(const FileOperations &files, const std::filesystem::path &file, std::string_view content);

/** @return the content of a file written by writeChecksummedFile(); a finding if its checksum differs */
Result<std::string> readChecksummedFile(const std::filesystem::path &file);

} // namespace bergamotweir::disk
