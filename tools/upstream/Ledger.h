#pragma once

#include "base/Result.h"
#include "net/HttpRequest.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bergamotweir::upstream {

/**
 * Appends executions to a file: one line when an execution starts and one when it ends.
 * Each line is one write() to the kernel, so it survives a crash of the process, but not of the VM.
 */
class Ledger
{
public:
    /** @param path of the file to append to; empty for a ledger that writes nothing */
    static Result<std::unique_ptr<Ledger>> open(const std::string &path, const std::string &upstream);
    ~Ledger();
    Ledger(const Ledger &) = delete;
    Ledger &operator=(const Ledger &) = delete;

    /** Records the start of an execution. @return the number of the execution */
    std::uint64_t recordStart(const net::HttpRequest &request);

    /**
     * Records the end of an execution. The line has the number but not the ids, so that ids occur once per execution.
     * @param outcome done, cancelled or deadline
     */
    void recordEnd(std::uint64_t run, const char *outcome);

private:
    Ledger(int file, std::string upstream);
    void write(const std::string &line) const;

    int file;
    std::string upstream;
    std::uint64_t lastRun = 0;
};

} // namespace bergamotweir::upstream
