"""HTTP client that sends each request only once."""

from rosemarycrank.http_client import _client
from rosemarycrank.http_client import _tls
from rosemarycrank.http_client import _token

AnswerInvalid = _client.AnswerInvalid
AnswerLost = _client.AnswerLost
AnswerTooLarge = _client.AnswerTooLarge
AnswerSurplus = _client.AnswerSurplus
AnswerTruncated = _client.AnswerTruncated
Client = _client.Client
ConnectFailed = _client.ConnectFailed
HttpError = _client.HttpError
Response = _client.Response

AUTHORIZATION_HEADER = _token.AUTHORIZATION_HEADER
bearer_credentials = _token.bearer_credentials
client_tls_context = _tls.client_tls_context
read_tokens = _token.read_tokens

__all__ = [
    'AUTHORIZATION_HEADER',
    'AnswerInvalid',
    'AnswerLost',
    'AnswerTooLarge',
    'AnswerSurplus',
    'AnswerTruncated',
    'Client',
    'ConnectFailed',
    'HttpError',
    'Response',
    'bearer_credentials',
    'client_tls_context',
    'read_tokens',
]
