#include "cli/Context.h"
#include "rpc/OperatorClient.h"

#include <curl/curl.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

namespace bergamotweir::cli {

namespace {

constexpr std::size_t MaxDocumentBytes = std::size_t{16} << 20U;

std::optional<std::string> readVariable(const std::string &variable)
{
    const char *value = std::getenv(variable.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

Result<std::string> readWholeFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || !text) {
        return oneFinding("file " + path, "can't be read", {});
    }
    return std::move(text).str();
}

std::size_t appendBytes(const char *bytes, std::size_t one, std::size_t count, void *document)
{
    auto &text = *static_cast<std::string *>(document);
    if (text.size() + one * count > MaxDocumentBytes) {
        return 0;
    }
    text.append(bytes, one * count);
    return one * count;
}

Result<std::string> fetchDocument(const std::string &url, std::chrono::milliseconds timeout)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(), curl_easy_cleanup);
    std::string document;
    if (handle == nullptr) {
        return oneFinding(url, "libcurl could not be started", {});
    }
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_FAILONERROR, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendBytes);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &document);
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        return oneFinding(url, curl_easy_strerror(code), {});
    }
    return document;
}

std::string randomChangeId()
{
    std::random_device random;
    std::ostringstream text;
    text << "ch-" << std::hex << random() << random();
    return text.str();
}

} // namespace

Context processContext()
{
    return {
        .out = std::cout,
        .err = std::cerr,
        .environment = readVariable,
        .operate = rpc::callOperator,
        .fetch = fetchDocument,
        .readFile = readWholeFile,
        .newChangeId = randomChangeId,
        .wallClock = std::chrono::system_clock::now,
        .sleep =
            [](std::chrono::milliseconds span) {
                std::this_thread::sleep_for(span);
            },
    };
}

} // namespace bergamotweir::cli
