#pragma once

#include "base/Result.h"
#include "disk/FileOperations.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace bergamotweir::disk {

/** @return a finding that names file, offset and the system's reason */
Findings ioFinding(const std::filesystem::path &file, std::uint64_t offset, const std::string &what, int error);

/** @return all bytes of a file, or why it can't be read */
Result<std::string> readFile(const std::filesystem::path &file);

/**
 * Replaces a file at once: written and synced beside it, renamed, and the folder synced.
 * A crash leaves the old content or the new one, never a mix.
 * @return nothing found on success
 */
Findings writeWhole(const FileOperations &files, const std::filesystem::path &file, std::string_view content);

/** @return the content; a finding when its checksum differs */
Result<std::string> readWhole(const std::filesystem::path &file);

} // namespace bergamotweir::disk
