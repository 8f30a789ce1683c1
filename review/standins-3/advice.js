import { listen, readText, sendJson } from './http.js';

const DECIDE_MS = 5;
const EACH_MS = 1;

/** Starts a stand-in of the advice service: every executor may run every step, with a ticket. */
export async function openAdvice() {
  const ticketOf = (step, executor) => `${step}/${executor}`;
  const { server, address } = await listen(async (incoming, response) => {
    const { step, workers } = JSON.parse(await readText(incoming));
    await new Promise((resolve) => setTimeout(resolve, DECIDE_MS + EACH_MS * workers.length));
    sendJson(response, 200, { good: workers.map((id) => [id, ticketOf(step, id)]) });
  });
  return {
    address,
    ticketOf,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
