"""Encoding of messages on links between the system's own processes."""

from enum import Enum
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from samphirespring.process.metrics.metric_names import Counter
from samphirespring.process.metrics.metrics import Metrics, NullMetrics
from samphirespring.request.messages import AttemptRequest, FrameBatch

ATTEMPT_TYPES = frozenset({AttemptRequest, FrameBatch})
"""Messages that carry callers' requests and responses; all other messages are control traffic."""


class LinkTraffic(Enum):
    """Kind of traffic on links."""

    ATTEMPT = "attempt"
    CONTROL = "control"


class MsgpackCodec(CodecBase):
    """MessagePack codec on msgspec, which checks types while decoding.

    Args:
        metrics: Counts the bytes of messages, without HTTP/2 framing.
    """

    __content_subtype__ = "msgpack"

    def __init__(self, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or NullMetrics()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message.

        Args:
            message: The message.
            message_type: Declared type of the message.
        """
        data = self._encoder.encode(message)
        self._count(Counter.LINK_BYTES_SENT, message_type, len(data))
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message.

        Args:
            data: One encoded message.
            message_type: Type, or tagged union of types, to decode as.

        Raises:
            msgspec.DecodeError: The bytes aren't a valid message of the type.
        """
        self._count(Counter.LINK_BYTES_RECEIVED, message_type, len(data))
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder.decode(data)

    def _count(self, counter: Counter, message_type: Any, size: int) -> None:
        carries_attempts = message_type in ATTEMPT_TYPES
        traffic = LinkTraffic.ATTEMPT if carries_attempts else LinkTraffic.CONTROL
        self._metrics.count(counter, traffic.value, amount=size)
