"""Tests of the HTTP server."""

import socket

import testtools

from azurelanding.http_server import HttpServer


class HttpServerTest(testtools.TestCase):
    """The options of the listening socket."""

    def test_small_replies_are_sent_without_delay(self):
        listener = HttpServer.from_config("127.0.0.1:0", None).listener
        self.addCleanup(listener.close)
        option = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertNotEqual(0, option)
