#include "Ledger.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

namespace bergamotweir::upstream {

namespace {

std::int64_t unixMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::string headerOrEmpty(const net::HttpRequest &request, const char *name)
{
    const std::string *value = net::findHeader(request.headers, name);
    return value == nullptr ? std::string() : *value;
}

} // namespace

Result<std::unique_ptr<Ledger>> Ledger::open(const std::string &path, const std::string &upstream)
{
    int file = -1;
    if (!path.empty()) {
        constexpr int FileMode = 0644;
        file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
        if (file < 0) {
            return oneFinding("--ledger", "'" + path + "' cannot be opened");
        }
    }
    return std::unique_ptr<Ledger>(new Ledger(file, upstream));
}

Ledger::Ledger(int file, std::string upstream)
    : file(file)
    , upstream(std::move(upstream))
{
}

Ledger::~Ledger()
{
    if (this->file >= 0) {
        close(this->file);
    }
}

std::uint64_t Ledger::recordStart(const net::HttpRequest &request)
{
    const std::uint64_t run = ++this->lastRun;
    if (this->file < 0) {
        return run;
    }
    this->write(nlohmann::json{{"run", run},
                               {"upstream", this->upstream},
                               {"request", headerOrEmpty(request, "Request-Id")},
                               {"test_id", headerOrEmpty(request, "Test-Id")},
                               {"key", headerOrEmpty(request, "Routing-Key")},
                               {"epoch", headerOrEmpty(request, "Grant-Epoch")},
                               {"idempotency_key", headerOrEmpty(request, "Idempotency-Key")},
                               {"method", request.method},
                               {"path", request.target},
                               {"at_us", unixMicroseconds()}}
                    .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
    return run;
}

void Ledger::recordEnd(std::uint64_t run, const char *outcome)
{
    if (this->file >= 0) {
        this->write(nlohmann::json{{"ended", run}, {"how", outcome}, {"at_us", unixMicroseconds()}}.dump());
    }
}

void Ledger::write(const std::string &line) const
{
    const std::string text = line + "\n";
    if (::write(this->file, text.data(), text.size()) != static_cast<ssize_t>(text.size())) {
        // Executions that are missing from the ledger would make the ledger check wrong, so the process exits.
        _exit(1);
    }
}

} // namespace bergamotweir::upstream
