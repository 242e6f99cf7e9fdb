#include "net/PipelineExchange.h"

#include "net/PipelineConnection.h"

#include <cassert>
#include <utility>

namespace bergamotweir::net {

PipelineExchange::PipelineExchange(std::weak_ptr<PipelineConnection> connection, HttpRequest request)
    : connection(std::move(connection))
{
    this->received = std::move(request);
}

void PipelineExchange::answer(HttpAnswer answer)
{
    if (this->state == State::Abandoned) {
        return;
    }
    assert(this->state == State::HandedOver);
    this->state = State::Answered;
    this->outgoing = std::move(answer);
    this->abandonedTask = nullptr;
    if (const std::shared_ptr<PipelineConnection> open = this->connection.lock()) {
        open->pump();
    }
}

bool PipelineExchange::isAbandoned() const
{
    return this->state == State::Abandoned;
}

void PipelineExchange::abandon(bool tell)
{
    const bool inWork = this->state == State::HandedOver;
    this->state = State::Abandoned;
    const std::function<void()> task = std::exchange(this->abandonedTask, nullptr);
    if (tell && inWork && task) {
        task();
    }
}

} // namespace bergamotweir::net
