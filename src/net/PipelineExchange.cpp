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
    this->pendingAnswer = std::move(answer);
    this->abandonedTask = nullptr;
    if (const std::shared_ptr<PipelineConnection> open = this->connection.lock()) {
        open->process();
    }
}

bool PipelineExchange::isAbandoned() const
{
    return this->state == State::Abandoned;
}

void PipelineExchange::abandon(bool runTask)
{
    const bool isInProgress = this->state == State::HandedOver;
    this->state = State::Abandoned;
    const std::function<void()> task = std::exchange(this->abandonedTask, nullptr);
    if (runTask && isInProgress && task) {
        task();
    }
}

} // namespace bergamotweir::net
