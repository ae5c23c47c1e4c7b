#include "Programs/Gateway/ServerWords.h"

namespace wisteria {

namespace {

void takeLimit(GatewayContext &context, const AnswerOf &answer, TimePoint now)
{
    // A refusal that names no limit does not end one.
    if (answer.head.notExecuted && !answer.head.limitPerSecond)
        return;
    const LimitWord word{.perSecond = answer.head.limitPerSecond, .heardAt = now};
    if (!noteWord(context.board.limits, answer.backend, word))
        return;
    context.log.info("backend.limit",
                     {{"id", answer.attempt},
                      {"backend", answer.backend},
                      {"limited", word.perSecond.has_value()},
                      {"per_second", word.perSecond.value_or(0)}});
}

void takeRest(GatewayContext &context, const AnswerOf &answer, TimePoint now)
{
    const milliseconds rest = answer.head.rest;
    if (rest <= milliseconds(0))
        return;
    noteRest(context.board, answer.backend, now + rest, now);
    context.log.info(
        "backend.rest",
        {{"id", answer.attempt}, {"backend", answer.backend}, {"for_s", secondsOf(rest)}});
}

void takeLeaving(GatewayContext &context, const AnswerOf &answer, TimePoint now)
{
    if (answer.head.leaving && noteLeaving(context.board, answer.backend, now))
        context.log.info("backend.leaving", {{"id", answer.attempt}, {"backend", answer.backend}});
}

} // namespace

void noteServerWords(GatewayContext &context, const AnswerOf &answer, TimePoint now)
{
    // Another server has the address by now; what it says is not of the one that was meant.
    if (answer.head.misdirected)
        return;
    takeLimit(context, answer, now);
    takeRest(context, answer, now);
    takeLeaving(context, answer, now);
}

} // namespace wisteria
